/**
 * One controller node: the adapters around the state machines, and the loops that drive them.
 * A program embeds it by constructing one with its settings and calling `start`.
 */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import { AdmissionControl, type LoggedDecision } from "./admission/index.js";
import { Ends } from "./api/ends.js";
import { Intake } from "./api/intake.js";
import type { ReportAnswer } from "./api/reports.js";
import { type ApiBackend, buildServer } from "./api/server.js";
import { Submissions } from "./api/submissions.js";
import { Cloud } from "./cloud/client.js";
import type { Operator } from "./config/operator.js";
import { Bucket } from "./core/bucket.js";
import { canEverRun } from "./core/feasibility.js";
import { LeaseKeeper } from "./core/lease-keeper.js";
import { AdaptiveLimit } from "./core/limit.js";
import type { JobSpec, JobView, Report } from "./core/model.js";
import type { Output } from "./core/outputs.js";
import { Records, type Touched } from "./core/records.js";
import { Scheduler } from "./core/scheduler.js";
import { type Contact, StandbyResponder } from "./core/standby-responder.js";
import { termLeaseS } from "./core/term.js";
import { Effects } from "./effects.js";
import { Leadership, type Leading } from "./leadership.js";
import { MachineTypes } from "./machine-types.js";
import { Mesh } from "./mesh/mesh.js";
import { type NodeLoad, newNodeLoad } from "./node-load.js";
import { PassLoop } from "./pass-loop.js";
import { Follower } from "./state/follower.js";
import { Store } from "./state/store.js";
import { StateWrites, TXN_BYTES } from "./state-writes.js";
import { JobTracer } from "./tracing.js";
import type { Settings } from "./wire/settings.js";
import { Workers } from "./workers/client.js";
import { workerSockets } from "./workers/sockets.js";

const steady = (): number => performance.now() / 1000;
/** Connections that one core accepts in a second while there is other work. */
const ACCEPTS = 500;
/** Other nodes that are enough for the users: one may end and two are left. */
const OTHERS = 3;
/** Times in a report interval at which the leader looks whether admission must be limited. */
const ADMISSION_LOOKS = 8;

export class Controller implements ApiBackend {
  private readonly records = new Records();
  private readonly store: Store;
  private readonly cloud: Cloud;
  private readonly workers: Workers;
  private readonly follower: Follower;
  private readonly intake: Intake;
  private readonly submissions: Submissions;
  /** Null: it is switched off. */
  private readonly tracer: JobTracer | null;
  /** Null: it is switched off. */
  private readonly admission: AdmissionControl | null;
  private readonly ends: Ends;
  private readonly mesh: Mesh;
  private readonly writes: StateWrites;
  private readonly app: FastifyInstance;
  private readonly types: MachineTypes;
  private readonly leadership: Leadership;
  private readonly standby: StandbyResponder;
  private readonly effects: Effects;
  private readonly load: NodeLoad;
  private readonly passes: PassLoop;
  private readonly graceS: number;
  private readonly keepS: number;
  private readonly leaseKeeper: LeaseKeeper;

  constructor(
    private readonly settings: Settings,
    private readonly operator: Operator,
    private readonly log: Logger,
  ) {
    const c = settings.cluster;
    // Between two leaders others may have answered for as long (`between`).
    this.graceS = Math.max(operator.graceRatio * c.leaseS, c.leaseS / 3 + this.contactGapS());
    this.keepS = operator.keepRatio * c.leaseS;
    this.leaseKeeper = new LeaseKeeper(c.leaseS, this.contactGapS(), this.keepS);
    this.load = newNodeLoad(c);
    this.passes = this.newPassLoop();
    const answerMs = (c.reportS * 1000) / 3;
    this.store = new Store(settings.state, steady, answerMs);
    this.cloud = new Cloud(settings.cloud, c.reportS * 1000);
    this.workers = new Workers(answerMs, workerSockets(c.sockets, 0));
    // Reads that catch up and watches each take a quarter of this node's share of requests.
    const spacing = (4 * c.nodes) / c.stateRps;
    this.tracer = operator.tracing ? new JobTracer(settings.member) : null;
    this.admission = operator.admission.enabled ? this.newAdmission() : null;
    const changed = (t: Touched | null): void => this.changed(t);
    this.follower = new Follower(
      this.store,
      this.records,
      steady,
      spacing,
      answerMs,
      changed,
      this.admission,
    );
    this.types = new MachineTypes(
      c,
      this.cloud,
      this.store,
      this.follower,
      this.records,
      (types) => {
        this.leadership.current?.scheduler.setTypes(types);
        this.passes.queue();
      },
    );
    this.writes = new StateWrites(c, this.store, this.follower, this.records, {
      now: steady,
      log,
      perform: (outputs) => this.perform(outputs),
      again: () => this.passes.queue(),
    });
    const sentOnRate = (1.5 * ACCEPTS * c.cpuShare) / Math.max(1, c.nodes - 1);
    this.standby = new StandbyResponder(
      c,
      settings.member,
      settings.zone,
      this.records,
      this.leaseKeeper,
      new Bucket(sentOnRate, sentOnRate / 2),
      this.graceS,
    );
    this.intake = new Intake(
      this.store,
      this.writes.bucket,
      steady,
      c.txnOps,
      TXN_BYTES,
      1024 * c.valueKb,
      c.reportS / 3,
      this.admission ?? undefined,
    );
    this.submissions = new Submissions(this.records, this.follower, this.intake, this.admission);
    this.leadership = new Leadership(this.store, this.follower, this.records, {
      member: settings.member,
      ttlS: termLeaseS(operator.termLeaseRatio * c.reportS, c.cpuShare),
      keepS: this.keepS,
      now: steady,
      log,
      scheduler: (epoch, mark, now) => this.newScheduler(epoch, mark, now),
      perform: (outputs) => this.perform(outputs),
      changed: (leads) => this.writes.leads(leads),
    });
    this.effects = new Effects(this.workers, this.cloud, {
      now: steady,
      reportS: c.reportS,
      sockets: c.sockets,
      leads: (l) => this.leadership.current === l,
      back: (f) => {
        this.guarded(() => this.load.measure("commands", () => this.perform(f())));
        this.passes.queue();
      },
    });
    this.ends = new Ends((id) => this.records.finals.has(id));
    this.mesh = this.newMesh();
    this.app = this.newServer(answerMs);
  }

  private newMesh(): Mesh {
    const { settings } = this;
    const c = settings.cluster;
    return new Mesh(
      settings.meshAddress,
      settings.siblings.map((x) => x.address),
      steady,
      c.reportS / 8,
      () => ({
        stateOk: this.stateOk(),
        holds: this.leadership.current !== null,
        epoch: this.records.epoch.value.n,
        zone: Math.max(0, c.zones.indexOf(settings.zone)),
      }),
    );
  }

  private newServer(answerMs: number): FastifyInstance {
    const { operator } = this;
    const c = this.settings.cluster;
    const limit = (): AdaptiveLimit =>
      new AdaptiveLimit(operator.maxInProgress / 50, operator.maxInProgress, answerMs / 2000);
    return buildServer(this, {
      questions: limit(),
      mutations: limit(),
      now: steady,
      retryAfterS: 1,
      maxWaitS: c.reportS / 3,
      // A peer that vanished without a word must not hold a socket for long.
      idleS: Math.max(10, 4 * c.reportS),
      took: (what, tookS, status) => {
        if (tookS > c.reportS / 30) this.log.debug({ what, tookS, status }, "slow answer");
      },
      fault: (error) => this.log.error({ err: error }, "request failed"),
    });
  }

  private newAdmission(): AdmissionControl {
    return new AdmissionControl(this.operator.admission, this.settings.cluster, {
      member: this.settings.member,
      now: steady,
      wallMs: Date.now,
      txn: (conditions, changes) => this.store.txn(conditions, changes),
      catchUp: () => this.follower.catchUp(),
      wrote: (changes) => this.writes.bucket.force(changes, steady()),
      decided: (decision) => this.logDecision(decision),
      windowWritten: ({ version, mode, periods }) =>
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
    return this.app.server;
  }

  async start(): Promise<void> {
    const [host, port] = this.settings.serveOn.split(":") as [string, string];
    // After a takeover every worker connects at once, and one that is not accepted and answered in time
    // gives up and comes again. A long queue is then served to those who have left: the leader accepted
    // hundreds a second and kept none, for a whole lease. So it holds what is accepted in a second.
    const backlog = Math.ceil(ACCEPTS * this.settings.cluster.cpuShare);
    await this.app.listen({ host, port: Number(port), backlog });
    // With no socket left a connection cannot be accepted; that must not end the process.
    this.server.on("error", (error) => this.log.debug({ err: error }, "not accepted"));
    this.log.info({ member: this.settings.member, on: this.settings.serveOn }, "listening");
    void this.follower.run();
    await this.mesh.start();
    void this.types.run();
    void this.passes.run();
  }

  async stop(): Promise<void> {
    this.passes.stop();
    this.types.stop();
    this.leadership.stop();
    this.follower.stop();
    this.mesh.stop();
    await this.app.close();
  }

  // ---------------------------------------------------------------- users

  /** The watch comes back several times in this time, so silence means that we are cut off. */
  private stateOk(): boolean {
    return this.follower.loaded && steady() - this.store.lastAnswer < this.contactGapS();
  }
  private contactGapS(): number {
    return (2 * this.settings.cluster.reportS) / 3;
  }

  /**
   * A node that alone cannot reach the state service is of no use to users. If no other reaches
   * it either, it is down for all, and being passed over would only delay the return.
   */
  healthy(): boolean {
    const useful = this.stateOk() || !this.mesh.siblingReachesState();
    return this.follower.loaded && useful && !this.leavesUsers();
  }

  /**
   * The leader has most to do: where enough others are in contact, they take the users, who then notice
   * neither its long passes nor its end.
   */
  leavesUsers(): boolean {
    if (this.leadership.current === null) this.left = false;
    else {
      const others = this.mesh.inContact();
      this.left = others >= OTHERS || (this.left && others >= OTHERS - 1);
    }
    return this.left;
  }
  private left = false;

  async read(id: string): Promise<JobView | null | "unavailable"> {
    if (!this.stateOk()) return "unavailable";
    return (await this.follower.catchUp()) ? this.records.view(id) : "unavailable";
  }

  judge(spec: JobSpec): "fits" | "never" | "unknown" {
    const c = this.settings.cluster;
    if (!c.teams.some((t) => t.name === spec.team)) return "never";
    if (this.types.known.length === 0) return "unknown";
    return canEverRun(spec, c, this.types.known) ? "fits" : "never";
  }

  async submit(spec: JobSpec) {
    if (!this.stateOk()) return "unavailable" as const;
    // Types that do not exist change nothing, and could make the stored value too large.
    const types = spec.types?.filter((t) => this.types.known.some((x) => x.name === t)) ?? null;
    const submit = () => this.submissions.submit({ ...spec, types });
    if (this.tracer === null) return submit();
    return this.tracer.submission(spec, submit, (outcome) => ({
      "job.outcome": typeof outcome === "object" ? "rejected" : outcome,
      "admission.window": this.admission?.replica.version ?? 0,
    }));
  }

  async cancel(id: string) {
    if (!this.stateOk()) return "unavailable" as const;
    if (this.records.cancels.has(id)) return "known" as const;
    return this.intake.cancel(id, Date.now());
  }

  /**
   * The end of a job whose cancellation is stored, as soon as it is stored as well. Where that takes
   * longer than a third of a report interval (machines that hang or are cut off, no leader), the user is
   * told to come back; what was asked for stays stored, and is seen to meanwhile.
   */
  async ended(id: string, withinS: number): Promise<JobView | null> {
    return (await this.ends.wait(id, 1000 * withinS)) ? this.records.view(id) : null;
  }

  // ---------------------------------------------------------------- workers

  report(r: Report): ReportAnswer {
    const now = steady();
    const leading = this.leadership.current;
    if (leading !== null) {
      return this.load.measure("reports", () => this.reportTo(leading, r, now));
    }
    if (this.standby.answers(r, this.contact(), now, Date.now())) {
      return { kind: "answer", token: this.records.epoch.value.n, commands: [] };
    }
    const leader = this.records.lead?.value.member ?? null;
    return { kind: "elsewhere", leader: leader === this.settings.member ? null : leader };
  }

  private reportTo({ term, scheduler }: Leading, r: Report, now: number): ReportAnswer {
    if (term.acting(now)) {
      const { commands, outputs } = scheduler.report(r, now);
      const token = term.epoch;
      this.perform(outputs);
      this.passes.queue();
      return { kind: "answer", token, commands };
    }
    const graceS = this.standby.runsKept(r) ? this.keepS : this.graceS;
    if (!term.answering(now, graceS) || r.token > term.epoch) return { kind: "unavailable" };
    scheduler.renewedWithout(r, now);
    return { kind: "answer", token: term.epoch, commands: [] };
  }

  private contact(): Contact {
    return {
      loaded: this.follower.loaded,
      stateOk: this.stateOk(),
      siblingReachesState: this.mesh.siblingReachesState(),
      leaderSpeaks: this.mesh.leaderSpeaks(),
    };
  }

  /** In contact with all that matters, and another node leads: no report need be read. */
  elsewhere(): string | null {
    const member = this.records.lead?.value.member;
    if (this.leadership.current !== null || member === undefined) return null;
    if (member === this.settings.member) return null;
    return this.stateOk() && !this.standby.settles(Date.now()) ? member : null;
  }

  // ---------------------------------------------------------------- changes of the records

  /**
   * A fault in the core must not end the process, nor leave a leader whose view may be
   * half changed: whoever takes the term next starts from the records.
   */
  private guarded(f: () => void): void {
    try {
      f();
    } catch (error) {
      this.log.error({ err: error as Error }, "fault in the core");
      this.leadership.standBack(this.settings.cluster.reportS);
      this.leadership.lose("fault in the core");
    }
  }

  private changed(touched: Touched | null): void {
    this.guarded(() => this.load.measure("records", () => this.takeChanges(touched)));
  }

  private takeChanges(touched: Touched | null): void {
    const now = steady();
    const leading = this.leadership.current;
    if (leading !== null) {
      const { term, scheduler } = leading;
      const lead = this.records.lead?.value;
      if (this.records.epoch.value.n > term.epoch && !this.leadership.raiseWanted) {
        const by = lead?.member ?? "another";
        this.leadership.lose(`epoch ${this.records.epoch.value.n} was taken by ${by}`);
      } else {
        const ids = touched === null ? this.records.live.keys() : touched.jobs;
        for (const id of ids) scheduler.recordChanged(this.records, id, now);
      }
    }
    if (touched === null) this.standby.leadSeen(now);
    this.ends.changed(touched === null ? null : touched.jobs);
    if (touched !== null) this.writes.seen(touched.asked);
    this.types.takeStored();
    this.passes.queue();
  }

  private newScheduler(epoch: number, epochMark: number, now: number): Scheduler {
    const c = this.settings.cluster;
    const options = {
      spare: this.operator.spareRatio,
      maxMachines: this.operator.maxMachines,
      idleReturnS: this.operator.idleLeases * c.leaseS,
      graceS: this.graceS,
      keepS: this.keepS,
      logsTasks: this.log.isLevelEnabled("debug"),
      othersIn: this.othersIn(),
    };
    const scheduler = new Scheduler(c, options, epoch, epochMark, now);
    scheduler.setTypes(this.types.known);
    return scheduler;
  }

  private othersIn(): Map<string, number> {
    const out = new Map<string, number>();
    for (const s of this.settings.siblings) out.set(s.zone, (out.get(s.zone) ?? 0) + 1);
    return out;
  }

  // ---------------------------------------------------------------- loops

  private newPassLoop(): PassLoop {
    return new PassLoop({
      now: steady,
      settings: this.settings.cluster,
      look: () => {
        if (this.follower.loaded) this.leaseKeeper.contact(this.store.lastAnswer);
        if (this.records.lead !== null) this.standby.leadSeen(steady());
      },
      pass: () => this.guarded(() => this.load.measure("passes", () => this.pass())),
      took: (tookS, sinceS) => this.noteLongPass(tookS, sinceS),
      behind: (behindS, overloaded) => {
        const leading = this.leadership.current;
        if (leading !== null) leading.scheduler.overloaded = overloaded;
        const line = this.load.line(behindS);
        if (line !== null) this.log.info({ leads: leading !== null, ...line }, "load");
      },
    });
  }

  private noteLongPass(tookS: number, sinceS: number): void {
    if (tookS <= this.settings.cluster.reportS / 4) return;
    this.log.warn({ tookS, sinceS, jobs: this.records.live.size }, "long pass");
  }

  private pass(): void {
    const now = steady();
    const leading = this.leadership.current;
    if (this.follower.loaded) this.admission?.tick();
    if (leading === null) {
      if (this.follower.loaded && this.types.known.length > 0) this.leadership.seek();
      return;
    }
    const { term, scheduler } = leading;
    if (!term.acting(now)) return;
    this.perform(scheduler.tick(now, Date.now()));
    this.leadAdmission(leading, now);
    this.writes.send(this.leadership);
  }

  /** Windows follow the load as the leader sees it; looked at a few times in a report interval. */
  private leadAdmission({ term, scheduler }: Leading, now: number): void {
    if (this.admission === null || now < this.admissionAfter) return;
    this.admissionAfter = now + this.settings.cluster.reportS / ADMISSION_LOOKS;
    this.admission.lead({
      cluster: scheduler.cluster,
      growing: scheduler.isGrowing(now),
      epoch: term.epoch,
      epochMark: term.epochMark,
    });
  }
  private admissionAfter = Number.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- outputs

  private perform(outputs: readonly Output[]): void {
    for (const o of outputs) this.performOne(o);
  }

  private performOne(o: Output): void {
    if (o.kind === "log") {
      this.log[o.level](o.fields, o.message);
      return;
    }
    if (o.kind === "first start") {
      this.tracer?.firstStart(o.job, o.submittedAt);
      return;
    }
    const leading = this.leadership.current;
    if (leading === null) return;
    if (o.kind === "raise token") this.leadership.raiseWanted = true;
    else if (o.kind === "resign") {
      this.leadership.standBack(2 * this.settings.cluster.reportS);
      this.leadership.lose(o.why);
    } else this.effects.perform(o, leading);
  }
}
