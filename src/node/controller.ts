/**
 * One controller node: the adapters around the state machines, and the loops that drive them.
 * A program embeds it by constructing one with its settings and calling `start`.
 */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import { AdmissionControl, type LoggedDecision } from "../admission/index.js";
import { CompletionWaiters } from "../api/completion-waiters.js";
import type {
  Feasibility,
  HeartbeatAnswer,
  JobReadResult,
  SubmissionOutcome,
  WriteResult,
} from "../api/outcomes.js";
import { type ApiBackend, buildServer } from "../api/server.js";
import { SubmissionService } from "../api/submission-service.js";
import { SubmissionWriter } from "../api/submission-writer.js";
import { CloudClient } from "../cloud/client.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Effect } from "../core/effects.js";
import { canEverRun } from "../core/jobs/feasibility.js";
import { LeaseExtension } from "../core/leadership/lease-extension.js";
import { type NodeConnectivity, StandbyResponder } from "../core/leadership/standby-responder.js";
import { termLeaseS } from "../core/leadership/term.js";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { WorkerHeartbeat } from "../core/model/workers.js";
import { AdaptiveConcurrencyLimit } from "../core/overload/adaptive-concurrency-limit.js";
import { TokenBucket } from "../core/overload/token-bucket.js";
import { Scheduler } from "../core/scheduler.js";
import { type ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import { PeerMesh } from "../peers/peer-mesh.js";
import { KeyValueClient } from "../state/key-value-client.js";
import { StateWatcher } from "../state/state-watcher.js";
import type { NodeSettings } from "../wire/settings.js";
import { WorkerClient } from "../workers/client.js";
import { maxWorkerConnections } from "../workers/sockets.js";
import { EffectExecutor } from "./effect-executor.js";
import { JobTracer } from "./job-tracer.js";
import { LeaderTransactions, MAXIMUM_TRANSACTION_BYTES } from "./leader-transactions.js";
import { type ActiveLeadership, Leadership } from "./leadership.js";
import { MachineTypeCatalog } from "./machine-type-catalog.js";
import { type NodeLoad, newNodeLoad } from "./node-load.js";
import { SchedulingLoop } from "./scheduling-loop.js";

const steadyNowS = (): number => performance.now() / 1000;
/** Connections that one core accepts in a second while there is other work. */
const ACCEPTS_PER_CORE_S = 500;
/** Other nodes that are enough for the users: one may end and two are left. */
const SUFFICIENT_PEERS = 3;
/** Times in a report interval at which the leader looks whether admission must be limited. */
const ADMISSION_UPDATES_PER_INTERVAL = 8;

export class Controller implements ApiBackend {
  private readonly replica = new StateReplica();
  private readonly keyValueClient: KeyValueClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly watcher: StateWatcher;
  private readonly submissionWriter: SubmissionWriter;
  private readonly submissions: SubmissionService;
  /** Null: it is switched off. */
  private readonly tracer: JobTracer | null;
  /** Null: it is switched off. */
  private readonly admission: AdmissionControl | null;
  private readonly completionWaiters: CompletionWaiters;
  private readonly peers: PeerMesh;
  private readonly transactions: LeaderTransactions;
  private readonly httpServer: FastifyInstance;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly leadership: Leadership;
  private readonly standby: StandbyResponder;
  private readonly effectExecutor: EffectExecutor;
  private readonly load: NodeLoad;
  private readonly schedulingLoop: SchedulingLoop;
  private readonly gracePeriodS: number;
  private readonly leaseExtensionS: number;
  private readonly leaseExtension: LeaseExtension;

  constructor(
    private readonly settings: NodeSettings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
  ) {
    const c = settings.cluster;
    // Between two leaders others may have answered for as long (`between`).
    this.gracePeriodS = Math.max(
      operator.graceRatio * c.leaseS,
      c.leaseS / 3 + this.maximumContactGapS(),
    );
    this.leaseExtensionS = operator.extensionRatio * c.leaseS;
    this.leaseExtension = new LeaseExtension(
      c.leaseS,
      this.maximumContactGapS(),
      this.leaseExtensionS,
    );
    this.load = newNodeLoad(c);
    this.schedulingLoop = this.createSchedulingLoop();
    const answerMs = (c.heartbeatIntervalS * 1000) / 3;
    this.keyValueClient = new KeyValueClient(settings.stateServiceAddress, steadyNowS, answerMs);
    this.cloud = new CloudClient(settings.cloudAddress, c.heartbeatIntervalS * 1000);
    this.workers = new WorkerClient(answerMs, maxWorkerConnections(c.sockets, 0));
    // Reads that catch up and watches each take a quarter of this node's share of requests.
    const spacing = (4 * c.nodes) / c.stateRps;
    this.tracer = operator.tracingEnabled ? new JobTracer(settings.member) : null;
    this.admission = operator.admission.enabled ? this.createAdmissionControl() : null;
    const changed = (t: ReplicaChange | null): void => this.onReplicaChange(t);
    this.watcher = new StateWatcher(
      this.keyValueClient,
      this.replica,
      steadyNowS,
      spacing,
      answerMs,
      changed,
      this.admission,
    );
    this.machineTypes = new MachineTypeCatalog(
      c,
      this.cloud,
      this.keyValueClient,
      this.watcher,
      this.replica,
      (types) => {
        this.leadership.current?.scheduler.setMachineTypes(types);
        this.schedulingLoop.requeue();
      },
    );
    this.transactions = new LeaderTransactions(c, this.keyValueClient, this.watcher, this.replica, {
      now: steadyNowS,
      log,
      performEffects: (outputs) => this.performEffects(outputs),
      onTransactionEnd: () => this.schedulingLoop.requeue(),
    });
    this.standby = this.createStandbyResponder();
    this.submissionWriter = this.createSubmissionWriter();
    this.submissions = new SubmissionService(
      this.replica,
      this.watcher,
      this.submissionWriter,
      this.admission,
    );
    this.leadership = new Leadership(this.keyValueClient, this.watcher, this.replica, {
      member: settings.member,
      leaseS: termLeaseS(operator.termLeaseRatio * c.heartbeatIntervalS, c.cpuShare),
      gracePeriodS: this.leaseExtensionS,
      now: steadyNowS,
      log,
      createScheduler: (epoch, mark, now) => this.createScheduler(epoch, mark, now),
      performEffects: (outputs) => this.performEffects(outputs),
      onLeadershipChange: (leads) => this.transactions.setLeading(leads),
    });
    this.effectExecutor = new EffectExecutor(this.workers, this.cloud, {
      now: steadyNowS,
      heartbeatIntervalS: c.heartbeatIntervalS,
      sockets: c.sockets,
      isCurrent: (l) => this.leadership.current === l,
      onResult: (f) => {
        this.runGuarded(() => this.load.measure("commands", () => this.performEffects(f())));
        this.schedulingLoop.requeue();
      },
    });
    this.completionWaiters = new CompletionWaiters((id) => this.replica.finalRecords.has(id));
    this.peers = this.createPeerMesh();
    this.httpServer = this.createHttpServer(answerMs);
  }

  private createSubmissionWriter(): SubmissionWriter {
    const c = this.settings.cluster;
    return new SubmissionWriter({
      keyValueClient: this.keyValueClient,
      writeBudget: this.transactions.writeBudget,
      now: steadyNowS,
      maxChanges: c.txnOps,
      maxTransactionBytes: MAXIMUM_TRANSACTION_BYTES,
      maxValueBytes: 1024 * c.valueKb,
      maxWaitS: c.heartbeatIntervalS / 3,
      gate: this.admission ?? undefined,
    });
  }

  private createStandbyResponder(): StandbyResponder {
    const { settings } = this;
    const c = settings.cluster;
    const sentOnRate = (1.5 * ACCEPTS_PER_CORE_S * c.cpuShare) / Math.max(1, c.nodes - 1);
    return new StandbyResponder(
      c,
      settings.member,
      settings.zone,
      this.replica,
      this.leaseExtension,
      new TokenBucket(sentOnRate, sentOnRate / 2),
      this.gracePeriodS,
    );
  }

  private createPeerMesh(): PeerMesh {
    const { settings } = this;
    const c = settings.cluster;
    return new PeerMesh({
      listenAddress: settings.peerAddress,
      peerAddresses: settings.peers.map((peer) => peer.address),
      now: steadyNowS,
      heartbeatIntervalS: c.heartbeatIntervalS / 8,
      currentHeartbeat: () => ({
        reachesStateService: this.reachesState(),
        holdsLeadership: this.leadership.current !== null,
        epoch: this.replica.epoch.value.n,
        zoneIndex: Math.max(0, c.zones.indexOf(settings.zone)),
      }),
    });
  }

  private createHttpServer(answerMs: number): FastifyInstance {
    const { operator } = this;
    const c = this.settings.cluster;
    const limit = (): AdaptiveConcurrencyLimit =>
      new AdaptiveConcurrencyLimit(
        operator.maxConcurrentRequests / 50,
        operator.maxConcurrentRequests,
        answerMs / 2000,
      );
    return buildServer(this, {
      queryLimit: limit(),
      mutationLimit: limit(),
      now: steadyNowS,
      retryAfterS: 1,
      cancellationWaitS: c.heartbeatIntervalS / 3,
      // A peer that vanished without a word must not hold a socket for long.
      idleTimeoutS: Math.max(10, 4 * c.heartbeatIntervalS),
      onRequestDone: (what, tookS, status) => {
        if (tookS > c.heartbeatIntervalS / 30)
          this.log.debug({ what, tookS, status }, "slow answer");
      },
      onFault: (error) => this.log.error({ err: error }, "request failed"),
    });
  }

  private createAdmissionControl(): AdmissionControl {
    return new AdmissionControl(this.operator.admission, this.settings.cluster, {
      member: this.settings.member,
      now: steadyNowS,
      wallMs: Date.now,
      transact: (conditions, changes) => this.keyValueClient.transact(conditions, changes),
      readLatest: () => this.watcher.readLatest(),
      onWrite: (changes) => this.transactions.writeBudget.takeOnCredit(changes, steadyNowS()),
      onDecision: (decision) => this.logDecision(decision),
      onWindowWritten: ({ version, mode, periods }) =>
        this.log.info({ version, mode, periods }, "admission window"),
    });
  }

  /** What an open window admits is of no interest to operators. */
  private logDecision(decision: LoggedDecision): void {
    const quiet = decision.kind === "admit" && decision.reason === "open";
    this.log[quiet ? "debug" : "info"](decision, "admission decision");
  }

  /** For programs that embed a controller. */
  get server(): FastifyInstance["server"] {
    return this.httpServer.server;
  }

  async start(): Promise<void> {
    const [host, port] = this.settings.listenAddress.split(":") as [string, string];
    // After a takeover every worker connects at once, and one that is not accepted and answered in time
    // gives up and comes again. A long queue is then served to those who have left: the leader accepted
    // hundreds a second and kept none, for a whole lease. So it holds what is accepted in a second.
    const backlog = Math.ceil(ACCEPTS_PER_CORE_S * this.settings.cluster.cpuShare);
    await this.httpServer.listen({ host, port: Number(port), backlog });
    // With no socket left a connection cannot be accepted; that must not end the process.
    this.server.on("error", (error) => this.log.debug({ err: error }, "not accepted"));
    this.log.info({ member: this.settings.member, on: this.settings.listenAddress }, "listening");
    void this.watcher.run();
    await this.peers.start();
    void this.machineTypes.run();
    void this.schedulingLoop.run();
  }

  async stop(): Promise<void> {
    this.schedulingLoop.stop();
    this.machineTypes.stop();
    this.leadership.stop();
    this.watcher.stop();
    this.peers.stop();
    await this.httpServer.close();
  }

  // ---------------------------------------------------------------- users

  /** The watch comes back several times in this time, so silence means that we are cut off. */
  private reachesState(): boolean {
    return (
      this.watcher.isLoaded &&
      steadyNowS() - this.keyValueClient.lastAnswerAt < this.maximumContactGapS()
    );
  }
  private maximumContactGapS(): number {
    return (2 * this.settings.cluster.heartbeatIntervalS) / 3;
  }

  /**
   * A node that alone cannot reach the state service is of no use to users. If no other reaches
   * it either, it is down for all, and being passed over would only delay the return.
   */
  isHealthy(): boolean {
    const useful = this.reachesState() || !this.peers.anyPeerReachesStateService();
    return this.watcher.isLoaded && useful && !this.shedsUsers();
  }

  /**
   * The leader has most to do: where enough others are in contact, they take the users, who then notice
   * neither its long passes nor its end.
   */
  shedsUsers(): boolean {
    if (this.leadership.current === null) this.isSheddingUsers = false;
    else {
      const others = this.peers.peersInContact();
      this.isSheddingUsers =
        others >= SUFFICIENT_PEERS || (this.isSheddingUsers && others >= SUFFICIENT_PEERS - 1);
    }
    return this.isSheddingUsers;
  }
  private isSheddingUsers = false;

  async readJob(id: string): Promise<JobReadResult> {
    if (!this.reachesState() || !(await this.watcher.readLatest())) return { kind: "unavailable" };
    const job = this.replica.view(id);
    return job === null ? { kind: "not found" } : { kind: "found", job };
  }

  checkFeasibility(spec: JobSpec): Feasibility {
    const c = this.settings.cluster;
    if (!c.teams.some((t) => t.name === spec.team)) return { kind: "infeasible" };
    if (this.machineTypes.known.length === 0) return { kind: "unknown" };
    return { kind: canEverRun(spec, c, this.machineTypes.known) ? "feasible" : "infeasible" };
  }

  async submit(spec: JobSpec): Promise<SubmissionOutcome> {
    if (!this.reachesState()) return { kind: "unavailable" };
    // Types that do not exist change nothing, and could make the stored value too large.
    const types =
      spec.types?.filter((t) => this.machineTypes.known.some((x) => x.name === t)) ?? null;
    const submit = () => this.submissions.submit({ ...spec, types });
    if (this.tracer === null) return submit();
    return this.tracer.traceSubmission(spec, submit, (outcome) => ({
      "job.outcome": outcome.kind,
      "admission.window": this.admission?.replica.windowVersion ?? 0,
    }));
  }

  async cancel(id: string): Promise<WriteResult> {
    if (!this.reachesState()) return { kind: "unavailable" };
    if (this.replica.cancellations.has(id)) return { kind: "known" };
    return this.submissionWriter.cancel(id, Date.now());
  }

  /**
   * The end of a job whose cancellation is stored, as soon as it is stored as well. Where that takes
   * longer than a third of a report interval (machines that hang or are cut off, no leader), the user is
   * told to come back; what was asked for stays stored, and is seen to meanwhile.
   */
  async waitForEnd(id: string, withinS: number): Promise<JobView | null> {
    return (await this.completionWaiters.waitFor(id, 1000 * withinS))
      ? this.replica.view(id)
      : null;
  }

  // ---------------------------------------------------------------- workers

  handleHeartbeat(r: WorkerHeartbeat): HeartbeatAnswer {
    const now = steadyNowS();
    const leading = this.leadership.current;
    if (leading !== null) {
      return this.load.measure("reports", () => this.handleHeartbeatAsLeader(leading, r, now));
    }
    if (this.standby.mayAnswer(r, this.connectivity(), now, Date.now())) {
      return { kind: "answer", fencingToken: this.replica.epoch.value.n, commands: [] };
    }
    const leader = this.replica.leader?.value.member ?? null;
    return { kind: "redirect", leader: leader === this.settings.member ? null : leader };
  }

  private handleHeartbeatAsLeader(
    { term, scheduler }: ActiveLeadership,
    r: WorkerHeartbeat,
    now: number,
  ): HeartbeatAnswer {
    if (term.mayAct(now)) {
      const { commands, outputs } = scheduler.handleHeartbeat(r, now);
      const fencingToken = term.epoch;
      this.performEffects(outputs);
      this.schedulingLoop.requeue();
      return { kind: "answer", fencingToken, commands };
    }
    const graceS = this.standby.runsExtendableTasks(r) ? this.leaseExtensionS : this.gracePeriodS;
    if (!term.isWithinGracePeriod(now, graceS) || r.fencingToken > term.epoch)
      return { kind: "unavailable" };
    scheduler.noteGracePeriodAnswer(r, now);
    return { kind: "answer", fencingToken: term.epoch, commands: [] };
  }

  private connectivity(): NodeConnectivity {
    return {
      replicaLoaded: this.watcher.isLoaded,
      reachesState: this.reachesState(),
      peerReachesState: this.peers.anyPeerReachesStateService(),
      leaderHeartbeatRecent: this.peers.isLeaderInContact(),
    };
  }

  /** In contact with all that matters, and another node leads: no report need be read. */
  redirectTarget(): string | null {
    const member = this.replica.leader?.value.member;
    if (this.leadership.current !== null || member === undefined) return null;
    if (member === this.settings.member) return null;
    return this.reachesState() && !this.standby.isLeaderSettling(Date.now()) ? member : null;
  }

  // ---------------------------------------------------------------- changes of the records

  /**
   * A fault in the core must not end the process, nor leave a leader whose view may be
   * half changed: whoever takes the term next starts from the records.
   */
  private runGuarded(f: () => void): void {
    try {
      f();
    } catch (error) {
      this.log.error({ err: error as Error }, "fault in the core");
      this.leadership.startElectionCooldown(this.settings.cluster.heartbeatIntervalS);
      this.leadership.stepDown("fault in the core");
    }
  }

  private onReplicaChange(touched: ReplicaChange | null): void {
    this.runGuarded(() => this.load.measure("records", () => this.applyReplicaChange(touched)));
  }

  private applyReplicaChange(touched: ReplicaChange | null): void {
    const now = steadyNowS();
    const leading = this.leadership.current;
    if (leading !== null) {
      const { term, scheduler } = leading;
      const lead = this.replica.leader?.value;
      if (
        this.replica.epoch.value.n > term.epoch &&
        !this.leadership.fencingTokenAdvanceRequested
      ) {
        const by = lead?.member ?? "another";
        this.leadership.stepDown(`epoch ${this.replica.epoch.value.n} was taken by ${by}`);
      } else {
        const ids = touched === null ? this.replica.activeJobs.keys() : touched.jobs;
        for (const id of ids) scheduler.handleJobChange(this.replica, id, now);
      }
    }
    if (touched === null) this.standby.noteLeaderSeen(now);
    this.completionWaiters.notifyChanged(touched === null ? null : touched.jobs);
    if (touched !== null) this.transactions.noteUserRequests(touched.userRequests);
    this.machineTypes.loadFromReplica();
    this.schedulingLoop.requeue();
  }

  private createScheduler(epoch: number, epochMark: number, now: number): Scheduler {
    const c = this.settings.cluster;
    const options = {
      spareRatio: this.operator.spareCapacityRatio,
      maxMachines: this.operator.maxMachines,
      idleReleaseS: this.operator.maxIdleLeases * c.leaseS,
      gracePeriodS: this.gracePeriodS,
      leaseExtensionS: this.leaseExtensionS,
      logsTasks: this.log.isLevelEnabled("debug"),
      controllersPerZone: this.controllersPerZone(),
    };
    const scheduler = new Scheduler(c, options, epoch, epochMark, now);
    scheduler.setMachineTypes(this.machineTypes.known);
    return scheduler;
  }

  private controllersPerZone(): Map<string, number> {
    const out = new Map<string, number>();
    for (const s of this.settings.peers) out.set(s.zone, (out.get(s.zone) ?? 0) + 1);
    return out;
  }

  // ---------------------------------------------------------------- loops

  private createSchedulingLoop(): SchedulingLoop {
    return new SchedulingLoop({
      now: steadyNowS,
      settings: this.settings.cluster,
      onPoll: () => {
        if (this.watcher.isLoaded)
          this.leaseExtension.noteContact(this.keyValueClient.lastAnswerAt);
        if (this.replica.leader !== null) this.standby.noteLeaderSeen(steadyNowS());
      },
      runCycle: () => this.runGuarded(() => this.load.measure("passes", () => this.runCycle())),
      onCycleEnd: (tookS, sinceS) => this.logSlowCycle(tookS, sinceS),
      onLag: (behindS, overloaded) => {
        const leading = this.leadership.current;
        if (leading !== null) leading.scheduler.overloaded = overloaded;
        const line = this.load.line(behindS);
        if (line !== null) this.log.info({ leads: leading !== null, ...line }, "load");
      },
    });
  }

  private logSlowCycle(tookS: number, sinceS: number): void {
    if (tookS <= this.settings.cluster.heartbeatIntervalS / 4) return;
    this.log.warn({ tookS, sinceS, jobs: this.replica.activeJobs.size }, "long pass");
  }

  private runCycle(): void {
    const now = steadyNowS();
    const leading = this.leadership.current;
    if (this.watcher.isLoaded) this.admission?.flushRejections();
    if (leading === null) {
      if (this.watcher.isLoaded && this.machineTypes.known.length > 0) this.leadership.campaign();
      return;
    }
    const { term, scheduler } = leading;
    if (!term.mayAct(now)) return;
    this.performEffects(scheduler.tick(now, Date.now()));
    this.updateAdmission(leading, now);
    this.transactions.sendNext(this.leadership);
  }

  /** Windows follow the load as the leader sees it; looked at a few times in a report interval. */
  private updateAdmission({ term, scheduler }: ActiveLeadership, now: number): void {
    if (this.admission === null || now < this.nextAdmissionUpdateAt) return;
    this.nextAdmissionUpdateAt =
      now + this.settings.cluster.heartbeatIntervalS / ADMISSION_UPDATES_PER_INTERVAL;
    this.admission.updateWindow({
      cluster: scheduler.cluster,
      growing: scheduler.isGrowing(now),
      epoch: term.epoch,
      epochModRevision: term.epochModRevision,
    });
  }
  private nextAdmissionUpdateAt = Number.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- outputs

  private performEffects(outputs: readonly Effect[]): void {
    for (const o of outputs) this.performEffect(o);
  }

  private performEffect(o: Effect): void {
    if (o.kind === "log") {
      this.log[o.level](o.fields, o.message);
      return;
    }
    if (o.kind === "first start") {
      this.tracer?.traceFirstStart(o.job, o.submittedAt);
      return;
    }
    const leading = this.leadership.current;
    if (leading === null) return;
    if (o.kind === "advance fencing token") this.leadership.fencingTokenAdvanceRequested = true;
    else if (o.kind === "step down") {
      this.leadership.startElectionCooldown(2 * this.settings.cluster.heartbeatIntervalS);
      this.leadership.stepDown(o.why);
    } else this.effectExecutor.perform(o, leading);
  }
}
