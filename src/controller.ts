/**
 * One controller node: the adapters around the state machines, and the loops that drive them.
 * A program embeds it by constructing one with its settings and calling `start`.
 */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import { Ends } from "./api/ends.js";
import { Intake } from "./api/intake.js";
import { buildServer, type Desk } from "./api/server.js";
import { Cloud } from "./cloud/client.js";
import type { Operator } from "./config/operator.js";
import { Bucket } from "./core/bucket.js";
import { Caretaker } from "./core/caretaker.js";
import { AdaptiveLimit } from "./core/limit.js";
import type { JobSpec, JobView, MachineType, Report } from "./core/model.js";
import { KEY, Records, type StoredLead, type Touched } from "./core/records.js";
import { canEverRun, isKept, type Output, Scheduler } from "./core/scheduler.js";
import { OWN, WriteShare } from "./core/share.js";
import { Term } from "./core/term.js";
import type { Write } from "./core/writer.js";
import { Mesh } from "./mesh/mesh.js";
import { Follower } from "./state/follower.js";
import { Store } from "./state/store.js";
import type { Settings } from "./wire/settings.js";
import { Workers } from "./workers/client.js";

const steady = (): number => performance.now() / 1000;
const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));
/** Connections that one core accepts in a second while there is other work. */
const ACCEPTS = 500;
/** Other nodes that are enough for the users: one may end and two are left. */
const OTHERS = 3;
/** A transaction's limit by the protocol, less room for the message around it. */
const TXN_BYTES = 60 * 1024;

export class Controller implements Desk {
  private readonly records = new Records();
  private readonly store: Store;
  private readonly cloud: Cloud;
  private readonly workers: Workers;
  private readonly follower: Follower;
  private readonly intake: Intake;
  private readonly ends: Ends;
  private readonly mesh: Mesh;
  private readonly writes: Bucket;
  private readonly share: WriteShare;
  private readonly app: FastifyInstance;
  private types: readonly MachineType[] = [];
  private term: Term | null = null;
  private scheduler: Scheduler | null = null;
  private acquiring = false;
  /** After it left office of itself, a node lets the others go first until then. */
  private standBackUntil = Number.NEGATIVE_INFINITY;
  private tickQueued = false;
  /** Steady time before which no further pass is made for what comes in. */
  private tickAfter = Number.NEGATIVE_INFINITY;
  private tickEnded = 0;
  /** When a holder was last recorded, or the records were first read. */
  private leadSeenAt = Number.NEGATIVE_INFINITY;
  /** How much later than asked timers come back lately, in seconds; and whether that is much. */
  private behindS = 0;
  private heldUp = false;
  private writing = false;
  private bumpWanted = false;
  private stopped = false;
  private readonly graceS: number;
  private readonly keepS: number;
  private readonly caretaker: Caretaker;
  private readonly sentOn: Bucket;
  private readonly ttlS: number;

  constructor(
    private readonly settings: Settings,
    private readonly operator: Operator,
    private readonly log: Logger,
  ) {
    const c = settings.cluster;
    this.ttlS = Math.max(0.5, operator.termLeaseRatio * c.reportS);
    // Between two holders others may have answered for as long (`between`).
    this.graceS = Math.max(operator.graceRatio * c.leaseS, c.leaseS / 3 + this.contactGapS());
    this.keepS = operator.keepRatio * c.leaseS;
    this.caretaker = new Caretaker(c.leaseS, this.contactGapS(), this.keepS);
    const answerMs = (c.reportS * 1000) / 3;
    this.store = new Store(settings.state, steady, answerMs);
    this.cloud = new Cloud(settings.cloud, c.reportS * 1000);
    this.workers = new Workers(answerMs, workerSockets(c.sockets, 0));
    // Reads that catch up and watches each take a quarter of this node's share of requests.
    const spacing = (4 * c.nodes) / c.stateRps;
    this.follower = new Follower(this.store, this.records, steady, spacing, answerMs, (t) =>
      this.changed(t),
    );
    this.share = new WriteShare(c.stateWriteRps);
    this.writes = new Bucket(this.writeShare(false), this.writeBurst(false));
    const sentOnRate = (1.5 * ACCEPTS * c.cpuShare) / Math.max(1, c.nodes - 1);
    this.sentOn = new Bucket(sentOnRate, sentOnRate / 2);
    this.intake = new Intake(this.store, this.writes, steady, c.txnOps, TXN_BYTES, c.reportS / 3);
    this.ends = new Ends((id) => this.records.finals.has(id));
    this.mesh = new Mesh(
      settings.meshAddress,
      settings.siblings.map((x) => x.address),
      steady,
      c.reportS / 8,
      () => ({
        stateOk: this.stateOk(),
        holds: this.term !== null,
        epoch: this.records.epoch.value.n,
        zone: Math.max(0, c.zones.indexOf(settings.zone)),
      }),
    );
    const limit = (): AdaptiveLimit =>
      new AdaptiveLimit(operator.maxInProgress / 50, operator.maxInProgress, answerMs / 2000);
    this.app = buildServer(this, {
      questions: limit(),
      wishes: limit(),
      now: steady,
      retryAfterS: 1,
      patienceS: c.reportS / 3,
      // A peer that vanished without a word must not hold a socket for long.
      idleS: Math.max(10, 4 * c.reportS),
      took: (what, tookS, status) => {
        if (tookS > c.reportS / 30) this.log.debug({ what, tookS, status }, "slow answer");
      },
      fault: (error) => this.log.error({ err: error }, "request failed"),
    });
  }

  /**
   * The holder writes most, see `WriteShare`. The others may use five sixths together, and a third each at
   * a time, as submissions come in bursts; if the service refuses some, they are sent again a moment later.
   */
  private writeShare(holder: boolean): number {
    const { stateWriteRps, nodes } = this.settings.cluster;
    const others = Math.max(1, Math.min(5, nodes - 1));
    return holder ? this.share.rate(steady()) : ((5 / 6) * stateWriteRps) / others;
  }
  /**
   * One second's worth of what is a node's own at the least, which the state service allows. (The holder
   * was once left with the burst of another node: too small for any write but the smallest.)
   */
  private writeBurst(holder: boolean): number {
    return Math.max(4, this.settings.cluster.stateWriteRps * (holder ? OWN : 1 / 3));
  }

  /** For programs that embed a controller. */
  get server(): FastifyInstance["server"] {
    return this.app.server;
  }

  async start(): Promise<void> {
    const [host, port] = this.settings.serveOn.split(":") as [string, string];
    // After a takeover every worker connects at once, and one that is not accepted and answered in time
    // gives up and comes again. A long queue is then served to those who have left: the holder accepted
    // hundreds a second and kept none, for a whole lease. So it holds what is accepted in a second.
    const backlog = Math.ceil(ACCEPTS * this.settings.cluster.cpuShare);
    await this.app.listen({ host, port: Number(port), backlog });
    // With no socket left a connection cannot be accepted; that must not end the process.
    this.server.on("error", (error) => this.log.debug({ err: error }, "not accepted"));
    this.log.info({ member: this.settings.member, on: this.settings.serveOn }, "listening");
    void this.follower.run();
    await this.mesh.start();
    void this.catalogLoop();
    void this.tickLoop();
  }

  async stop(): Promise<void> {
    this.stopped = true;
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
   * The holder has most to do: where enough others are in contact, they take the users, who then notice
   * neither its long passes nor its end.
   */
  leavesUsers(): boolean {
    if (this.term === null) this.left = false;
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
    if (this.types.length === 0) return "unknown";
    return canEverRun(spec, c, this.types) ? "fits" : "never";
  }

  async submit(spec: JobSpec) {
    if (!this.stateOk()) return "unavailable" as const;
    // Types that do not exist change nothing, and could make the stored value too large.
    const known = spec.types?.filter((t) => this.types.some((x) => x.name === t)) ?? null;
    return this.intake.submit({ ...spec, types: known }, Date.now());
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

  report(r: Report): ReturnType<Desk["report"]> {
    const now = steady();
    if (this.term !== null && this.scheduler !== null) {
      if (this.term.acting(now)) {
        const { commands, outputs } = this.scheduler.report(r, now);
        const token = this.term.epoch;
        this.perform(outputs);
        this.queueTick();
        return { kind: "answer", token, commands };
      }
      const graceS = this.runsKept(r) ? this.keepS : this.graceS;
      if (this.term.answering(now, graceS) && r.token <= this.term.epoch) {
        this.scheduler.renewedWithout(r, now);
        return { kind: "answer", token: this.term.epoch, commands: [] };
      }
      return { kind: "unavailable" };
    }
    if (this.aloneWith(r, now) || this.between(r, now) || this.sharesFor(r, now)) {
      return { kind: "answer", token: this.records.epoch.value.n, commands: [] };
    }
    const holder = this.records.lead?.value.member ?? null;
    return { kind: "elsewhere", holder: holder === this.settings.member ? null : holder };
  }

  /** In contact with all that matters, and another node holds the term: no report need be read. */
  elsewhere(): string | null {
    const member = this.records.lead?.value.member;
    if (this.term !== null || member === undefined || member === this.settings.member) return null;
    return this.stateOk() && !this.settles() ? member : null;
  }

  /** The holder took the term a moment ago: by the time of day that is stored with it. */
  private settles(): boolean {
    const { lead } = this.records;
    const boundS = (2 / 3) * Math.min(this.graceS, this.settings.cluster.leaseS);
    return lead !== null && Date.now() - lead.value.at < 1000 * boundS;
  }

  /**
   * While a new holder settles, only so many workers a second are sent on to it; the others are answered
   * here, without commands, with its token, and come again with their next report. (Two thousand came at
   * once; each had left by the time its turn came, and came again, until its lease was over.) The holder
   * counts every lease from `graceS` after its start in any case, and this ends before then.
   */
  private sharesFor(r: Report, now: number): boolean {
    const { lead, epoch } = this.records;
    return (
      lead !== null &&
      lead.value.member !== this.settings.member &&
      this.settles() &&
      this.stateOk() &&
      r.token <= epoch.value.n &&
      !r.tasks.some((t) => this.records.cancels.has(t.job)) &&
      !this.sentOn.take(1, now)
    );
  }

  /**
   * Replicas or gang tasks are on the machine, by what its worker itself says, and nothing that was
   * cancelled, which must be gone soon.
   */
  private runsKept(r: Report): boolean {
    if (r.tasks.some((t) => this.records.cancels.has(t.job))) return false;
    return r.tasks.some((t) => {
      const job = t.state === "exited" ? undefined : this.records.live.get(t.job);
      return job !== undefined && isKept(job.value.j.kind);
    });
  }

  /**
   * Nobody holds the term. Workers that are turned away then come back every second, each over a new
   * connection, and leave no node the time to take it (a thousand did, for 20 s). So for part of a
   * lease any node in contact answers them without commands, with the last token; they find the
   * next holder with their next report. That holder adds `graceS` before it counts a lease as over.
   */
  private between(r: Report, now: number): boolean {
    const epoch = this.records.epoch.value.n;
    return (
      this.stateOk() &&
      this.records.lead === null &&
      epoch > 0 &&
      r.token <= epoch &&
      now - this.leadSeenAt < this.settings.cluster.leaseS / 3 &&
      !r.tasks.some((t) => this.records.cancels.has(t.job))
    );
  }

  /** Cut off from everybody but the workers of this zone, which would lose what they run. */
  private aloneWith(r: Report, now: number): boolean {
    return (
      this.follower.loaded &&
      r.zone === this.settings.zone &&
      r.token <= this.records.epoch.value.n &&
      this.caretaker.mayAnswer(now) &&
      !this.mesh.siblingReachesState() &&
      !this.mesh.holderSpeaks() &&
      this.runsKept(r)
    );
  }

  // ---------------------------------------------------------------- the term

  /**
   * A fault in the core must not end the process, nor leave a holder in office whose view may be
   * half changed: whoever takes the term next starts from the records.
   */
  private guarded(f: () => void): void {
    try {
      f();
    } catch (error) {
      this.log.error({ err: error as Error }, "fault in the core");
      this.standBackUntil = steady() + this.settings.cluster.reportS;
      this.lose("fault in the core");
    }
  }

  private changed(touched: Touched | null): void {
    this.guarded(() => this.takeChanges(touched));
  }

  private takeChanges(touched: Touched | null): void {
    const now = steady();
    if (this.scheduler !== null && this.term !== null) {
      const lead = this.records.lead?.value;
      if (this.records.epoch.value.n > this.term.epoch && !this.bumpWanted) {
        this.lose(`epoch ${this.records.epoch.value.n} was taken by ${lead?.member ?? "another"}`);
      } else {
        const ids = touched === null ? this.records.live.keys() : touched.jobs;
        for (const id of ids) this.scheduler.recordChanged(this.records, id, now);
      }
    }
    if (touched === null) this.leadSeenAt = now;
    this.ends.changed(touched === null ? null : touched.jobs);
    if (touched !== null) this.share.seen(touched.asked);
    if (this.types.length === 0 && this.records.types !== null) this.types = this.records.types;
    this.queueTick();
  }

  private async acquire(): Promise<void> {
    if (this.acquiring || this.term !== null) return;
    this.acquiring = true;
    try {
      const sentAt = steady();
      const lease = await this.store.grant(this.ttlS * 1000);
      if (lease === null) return;
      const epoch = this.records.epoch.value.n + 1;
      const lead: StoredLead = { member: this.settings.member, epoch, lease, at: Date.now() };
      const r = await this.store.txn(
        [
          { key: KEY.lead, mark: 0 },
          { key: KEY.epoch, mark: this.records.epoch.mark },
        ],
        [
          { op: "put", key: KEY.lead, value: lead, lease },
          { op: "put", key: KEY.epoch, value: { n: epoch } },
        ],
      );
      const caughtUp = await this.follower.catchUp();
      const won =
        caughtUp &&
        this.records.lead?.value.lease === lease &&
        this.records.epoch.value.n === epoch;
      if (!won) {
        if (r.kind !== "failed") this.log.info({ outcome: r.kind }, "term not taken");
        void this.store.revoke(lease);
        return;
      }
      const now = steady();
      const term = new Term(
        this.settings.member,
        epoch,
        this.records.epoch.mark,
        lease,
        this.ttlS,
        sentAt,
        lead.at,
      );
      if (!term.acting(now)) {
        void this.store.revoke(lease);
        return;
      }
      const c = this.settings.cluster;
      const scheduler = new Scheduler(
        c,
        {
          spare: this.operator.spareRatio,
          maxMachines: this.operator.maxMachines,
          idleReturnS: this.operator.idleLeases * c.leaseS,
          graceS: this.graceS,
          keepS: this.keepS,
          othersIn: this.othersIn(),
        },
        epoch,
        this.records.epoch.mark,
        now,
      );
      scheduler.setTypes(this.types);
      this.term = term;
      this.scheduler = scheduler;
      this.writes.setRate(this.writeShare(true), this.writeBurst(true));
      this.log.warn({ epoch, jobs: this.records.live.size }, "term taken");
      this.perform(scheduler.load(this.records, now));
      void this.renewLoop(term);
    } finally {
      this.acquiring = false;
    }
  }

  private othersIn(): Map<string, number> {
    const out = new Map<string, number>();
    for (const s of this.settings.siblings) out.set(s.zone, (out.get(s.zone) ?? 0) + 1);
    return out;
  }

  private async renewLoop(term: Term): Promise<void> {
    while (this.term === term && !this.stopped) {
      await sleep(this.ttlS / 4);
      const sentAt = steady();
      const r = await this.store.extend(term.lease);
      if (this.term !== term) return;
      if (r === "ok") term.renewed(sentAt);
      else if (r === "ended") this.lose("the lease ended");
      else if (!term.answering(steady(), this.keepS)) this.lose("no renewal for too long");
    }
  }

  private lose(why: string): void {
    if (this.term === null) return;
    this.log.warn({ epoch: this.term.epoch, why }, "term lost");
    void this.store.revoke(this.term.lease);
    this.term = null;
    this.scheduler = null;
    this.bumpWanted = false;
    this.writes.setRate(this.writeShare(false), this.writeBurst(false));
  }

  /** Raises the token under the same term, so that starts still under way are dropped. */
  private async bump(term: Term, scheduler: Scheduler): Promise<void> {
    const n = term.epoch + 1;
    const { lease, at } = term;
    const lead: StoredLead = { member: this.settings.member, epoch: n, lease, at };
    const r = await this.store.txn(
      [{ key: KEY.epoch, mark: term.epochMark }],
      [
        { op: "put", key: KEY.epoch, value: { n } },
        { op: "put", key: KEY.lead, value: lead, lease: term.lease },
      ],
    );
    if (r.kind !== "refused") await this.follower.catchUp();
    if (this.term !== term) return;
    const now = steady();
    this.bumpWanted = false;
    if (this.records.epoch.value.n === n && this.records.lead?.value.lease === term.lease) {
      term.epoch = n;
      term.epochMark = this.records.epoch.mark;
      this.log.info({ epoch: n }, "token raised");
      this.perform(scheduler.bumped({ n, mark: term.epochMark }, now));
    } else if (this.records.epoch.value.n > term.epoch) this.lose("epoch taken while raising it");
    else this.perform(scheduler.bumped(null, now));
  }

  // ---------------------------------------------------------------- loops

  private async tickLoop(): Promise<void> {
    const every = this.settings.cluster.reportS / 20;
    while (!this.stopped) {
      if (this.follower.loaded) this.caretaker.contact(this.store.lastAnswer);
      if (this.records.lead !== null) this.leadSeenAt = steady();
      if (steady() >= this.tickAfter) this.tick();
      const before = steady();
      await sleep(every);
      // A pause that took far longer than asked for: more comes in than can be done.
      this.behindS = 0.7 * this.behindS + 0.3 * (steady() - before - every);
      this.heldUp = this.behindS > this.settings.cluster.reportS / 30;
      if (this.scheduler !== null) this.scheduler.heldUp = this.heldUp;
    }
  }

  private queueTick(): void {
    if (this.tickQueued) return;
    this.tickQueued = true;
    setTimeout(
      () => {
        this.tickQueued = false;
        this.tick();
      },
      1000 * Math.max(0, this.tickAfter - steady()),
    );
  }

  /** Passes are spaced, so that whatever they cost, as much time is left for answers. */
  private tick(): void {
    const began = steady();
    this.guarded(() => this.tickOnce());
    const ended = steady();
    if (ended - began > this.settings.cluster.reportS / 4) {
      const jobs = this.records.live.size;
      this.log.warn({ tookS: ended - began, sinceS: began - this.tickEnded, jobs }, "long pass");
    }
    this.tickEnded = ended;
    const rest = (this.heldUp ? 8 : 2) * (ended - began);
    this.tickAfter = ended + Math.max(this.settings.cluster.reportS / 100, rest);
  }

  private tickOnce(): void {
    const now = steady();
    const { term, scheduler } = this;
    if (term === null || scheduler === null) {
      const lead = this.records.lead;
      if (!this.follower.loaded || this.types.length === 0 || this.acquiring) return;
      if (lead === null) {
        if (now >= this.standBackUntil) void this.acquire();
      } else if (lead.value.member === this.settings.member) {
        // The term of this node's former life: nobody acts for it any more.
        this.acquiring = true;
        void this.store.revoke(lead.value.lease).then(async () => {
          await this.follower.catchUp();
          this.acquiring = false;
        });
      }
      return;
    }
    if (!term.acting(now)) return;
    this.perform(scheduler.tick(now, Date.now()));
    this.write();
  }

  private write(): void {
    const { term, scheduler } = this;
    if (term === null || scheduler === null || this.writing) return;
    const now = steady();
    if (!term.acting(now)) return;
    if (this.bumpWanted) {
      this.writing = true;
      void this.bump(term, scheduler).finally(() => {
        this.writing = false;
        this.queueTick();
      });
      return;
    }
    this.writes.setRate(this.writeShare(true), this.writeBurst(true));
    const room = Math.floor(this.writes.available(now));
    if (room < 3 || !scheduler.hasUrgentWrite) return;
    // Progress waits until there is plenty: placements and ends must not wait behind it.
    const w = scheduler.nextWrite(
      Math.min(room, this.settings.cluster.txnOps),
      TXN_BYTES,
      room < this.writeBurst(true) / 2,
    );
    if (w === null) return;
    this.writes.force(w.changes.length, now);
    this.writing = true;
    this.log.debug({ ...w.counts, room }, "write");
    void this.commit(term, scheduler, w).finally(() => {
      this.writing = false;
      this.queueTick();
    });
  }

  private async commit(term: Term, scheduler: Scheduler, w: Write): Promise<void> {
    const r = await this.store.txn(w.conditions, w.changes);
    const finish = (outcome: Parameters<Scheduler["written"]>[1], revision: number): void => {
      if (this.scheduler !== scheduler) return;
      this.perform(scheduler.written(w, outcome, revision, this.records, steady()));
    };
    if (r.kind === "ok") return finish("ok", r.revision);
    if (r.kind === "refused") {
      this.log.debug({ status: r.status }, "write refused");
      this.share.refused(steady());
      finish("refused", 0);
      await sleep(this.settings.cluster.reportS / 30);
      return;
    }
    this.log.info({ outcome: r }, "write not certain");
    // Whatever happened to it, only a fresh read tells what is stored now.
    for (;;) {
      if (await this.follower.catchUp()) break;
      if (this.term !== term) return;
      await sleep(this.settings.cluster.reportS / 10);
    }
    if (this.records.epoch.mark !== term.epochMark) {
      this.lose("a write found another epoch");
      return;
    }
    finish(r.kind === "failed" ? "conflict" : "unknown", 0);
  }

  private async catalogLoop(): Promise<void> {
    const { leaseS, cloudRps } = this.settings.cluster;
    while (!this.stopped) {
      const types = await this.cloud.catalog();
      if (types === null || types.length === 0) {
        await sleep(this.types.length === 0 ? 4 / cloudRps : leaseS);
        continue;
      }
      this.types = types;
      this.scheduler?.setTypes(types);
      await this.storeTypes(types);
      this.queueTick();
      await sleep(10 * leaseS);
    }
  }

  /** Kept so that a start while the cloud is down knows the machine types. */
  private async storeTypes(types: readonly MachineType[]): Promise<void> {
    const fixed = (t: readonly MachineType[]): string =>
      JSON.stringify(t.map((x) => ({ ...x, spotPrice: 0, price: 0 })));
    while (!this.follower.loaded) await sleep(0.2);
    const stored = this.records.types;
    if (stored !== null && fixed(stored) === fixed(types)) return;
    if (JSON.stringify(types).length > this.settings.cluster.valueKb * 1024) return;
    await this.store.txn([], [{ op: "put", key: KEY.types, value: types }]);
  }

  // ---------------------------------------------------------------- outputs

  private perform(outputs: readonly Output[]): void {
    for (const o of outputs) this.performOne(o);
  }

  private performOne(o: Output): void {
    const { term, scheduler } = this;
    if (o.kind === "log") {
      this.log.info(o.fields, o.message);
      return;
    }
    if (term === null || scheduler === null) return;
    /** Results of a scheduler that is no longer in office are dropped. */
    const back = (f: () => Output[]): void => {
      if (this.scheduler !== scheduler) return;
      this.guarded(() => this.perform(f()));
      this.queueTick();
    };
    const acting = term.acting(steady());
    switch (o.kind) {
      case "send": {
        if (!acting) {
          setImmediate(() =>
            back(() =>
              scheduler.sent(o.machine, o.commands, { kind: "lost", sent: false }, steady()),
            ),
          );
          return;
        }
        void this.workers
          .send(o.address, term.epoch, o.session, o.commands)
          .then((r) => back(() => scheduler.sent(o.machine, o.commands, r, steady())));
        return;
      }
      case "show": {
        const began = steady();
        void this.workers.show(o.address).then((r) => {
          const late = steady() - began > (1.25 * this.settings.cluster.reportS) / 3;
          back(() => scheduler.shown(o.machine, r, steady(), late));
        });
        return;
      }
      case "rent":
        void (
          acting ? this.cloud.rent(o.name, o.type, o.zone, o.spot, o.count) : refusedRent()
        ).then((r) => back(() => scheduler.rented(o, r, steady())));
        return;
      case "return":
        void (acting ? this.cloud.giveBack(o.machines) : Promise.resolve(false)).then((ok) =>
          back(() => scheduler.returned(o.machines, ok, steady())),
        );
        return;
      case "list":
        void this.cloud.list().then((l) => {
          back(() => scheduler.list(l, steady()));
          const addresses = scheduler.addresses();
          this.workers.keepOnly(addresses);
          this.workers.keepAtMost(workerSockets(this.settings.cluster.sockets, addresses.size));
        });
        return;
      case "bump":
        this.bumpWanted = true;
        return;
      case "resign":
        this.standBackUntil = steady() + 2 * this.settings.cluster.reportS;
        this.lose(o.why);
        return;
    }
  }
}

/**
 * How many connections to workers may be kept. Every worker holds one of its own to the term holder,
 * some twice for a moment; a sixth of the sockets is for users, the state service, the cloud, the other
 * controllers and what is being closed. (A fixed fifth of the sockets left none for users when there
 * were half as many machines again.)
 */
export function workerSockets(sockets: number, machines: number): number {
  const left = (5 / 6) * sockets - 1.05 * machines;
  return Math.floor(Math.max(sockets / 40, 4, Math.min(left, sockets / 2)));
}

const refusedRent = (): Promise<"trouble"> => Promise.resolve("trouble");
