/** Composition root of a node: creates its components and connects their callbacks. */
import type { Logger } from "pino";
import type { AdmissionControl } from "../admission/index.js";
import { CompletionWaiters } from "../api/completion-waiters.js";
import { SubmissionService } from "../api/submission-service.js";
import { SubmissionWriter } from "../api/submission-writer.js";
import type { OperatorSettings } from "../config/operator.js";
import { FollowerResponder } from "../core/leadership/follower-responder.js";
import { LeaseExtension } from "../core/leadership/lease-extension.js";
import { TokenBucket } from "../core/overload/token-bucket.js";
import type { ReplicaChange } from "../core/state/state-replica.js";
import { PeerMesh } from "../peers/peer-mesh.js";
import { StateWatcher } from "../state/state-watcher.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import { createAdmissionControl } from "./admission-composition.js";
import { ACCEPTS_PER_CORE_PER_S } from "./http-server.js";
import { LeaderComposition } from "./leader-composition.js";
import { MAXIMUM_TRANSACTION_BYTES } from "./leader-transactions.js";
import { MachineTypeCatalog } from "./machine-type-catalog.js";
import { createNodeAdapters, type NodeAdapters } from "./node-adapters.js";
import { NodeHealth } from "./node-health.js";
import { ReplicaChangeHandler } from "./replica-change-handler.js";
import { StateContact } from "./state-contact.js";
import { UserRequestHandler } from "./user-request-handler.js";
import { WorkerHeartbeatHandler } from "./worker-heartbeat-handler.js";

/**
 * All components of one node. A component is constructed after those that are passed to it; callbacks may use the
 * other components once the node runs.
 */
export class NodeComposition {
  readonly adapters: NodeAdapters;
  readonly watcher: StateWatcher;
  readonly machineTypes: MachineTypeCatalog;
  readonly leader: LeaderComposition;
  readonly peers: PeerMesh;
  readonly health: NodeHealth;
  readonly userRequestHandler: UserRequestHandler;
  readonly workerHeartbeatHandler: WorkerHeartbeatHandler;
  private readonly admission: AdmissionControl | null;
  private readonly stateContact: StateContact;
  private readonly leaseExtension: LeaseExtension;
  private readonly followerResponder: FollowerResponder;
  private readonly completionWaiters: CompletionWaiters;
  private readonly replicaChanges: ReplicaChangeHandler;

  constructor(
    private readonly settings: NodeSettings,
    private readonly operator: OperatorSettings,
    private readonly log: Logger,
  ) {
    this.adapters = createNodeAdapters(settings, operator);
    this.admission = this.createAdmissionControl();
    this.watcher = this.createStateWatcher();
    this.stateContact = this.createStateContact();
    this.machineTypes = this.createMachineTypeCatalog();
    this.leader = this.createLeader();
    this.leaseExtension = this.createLeaseExtension();
    this.followerResponder = this.createFollowerResponder();
    this.completionWaiters = this.createCompletionWaiters();
    this.replicaChanges = this.createReplicaChangeHandler();
    this.peers = this.createPeerMesh();
    this.health = this.createNodeHealth();
    this.userRequestHandler = this.createUserRequestHandler();
    this.workerHeartbeatHandler = this.createWorkerHeartbeatHandler();
  }

  private createAdmissionControl(): AdmissionControl | null {
    const { settings, operator, log } = this;
    const { keyValueClient } = this.adapters;
    return createAdmissionControl({
      settings,
      operator,
      log,
      now: steadyNowS,
      transact: (preconditions, changes) => keyValueClient.transact(preconditions, changes),
      readLatest: () => this.watcher.readLatest(),
      onWrite: (changes) =>
        this.leader.transactions.writeBudget.takeOnCredit(changes, steadyNowS()),
    });
  }

  private createStateWatcher(): StateWatcher {
    const { keyValueClient, replica, timing } = this.adapters;
    return new StateWatcher({
      keyValueClient,
      replica,
      now: steadyNowS,
      minimumIntervalS: timing.minimumReadIntervalS,
      blockMs: timing.requestTimeoutMs,
      onChange: (change) => this.handleReplicaChange(change),
      onLoaded: (statistics) => this.log.info(statistics, "state loaded"),
      observer: this.admission,
    });
  }

  private handleReplicaChange(change: ReplicaChange | null): void {
    this.leader.runSchedulerWork("replicaChanges", () => {
      this.replicaChanges.apply(change);
      this.leader.schedulingLoop.requestCycle();
    });
  }

  private createStateContact(): StateContact {
    const { keyValueClient, timing } = this.adapters;
    return new StateContact({
      keyValueClient,
      watcher: this.watcher,
      now: steadyNowS,
      maximumContactGapS: timing.maximumContactGapS,
    });
  }

  private createMachineTypeCatalog(): MachineTypeCatalog {
    const { cloud, keyValueClient, replica } = this.adapters;
    return new MachineTypeCatalog({
      cluster: this.settings.cluster,
      cloud,
      keyValueClient,
      watcher: this.watcher,
      replica,
      onChange: (types) => {
        this.leader.leadership.current?.scheduler.setMachineTypes(types);
        this.leader.schedulingLoop.requestCycle();
      },
    });
  }

  private createLeader(): LeaderComposition {
    const { settings, operator, log, adapters, watcher, machineTypes, admission } = this;
    return new LeaderComposition({
      settings,
      operator,
      log,
      adapters,
      watcher,
      machineTypes,
      admission,
      onPoll: () => this.recordContacts(),
    });
  }

  /**
   * Records when the state service last answered and when a stored leader was last seen. These times decide whether a
   * follower may answer heartbeats.
   */
  private recordContacts(): void {
    const { keyValueClient, replica } = this.adapters;
    if (this.watcher.isLoaded) this.leaseExtension.recordContact(keyValueClient.lastAnswerAt);
    if (replica.leader !== null) this.followerResponder.recordLeaderSeen(steadyNowS());
  }

  private createLeaseExtension(): LeaseExtension {
    const { maximumContactGapS, leaseExtensionS } = this.adapters.timing;
    return new LeaseExtension(this.settings.cluster.leaseS, maximumContactGapS, leaseExtensionS);
  }

  private createFollowerResponder(): FollowerResponder {
    const { cluster, member, zone } = this.settings;
    const { replica, timing } = this.adapters;
    const otherNodeCount = Math.max(1, cluster.nodes - 1);
    const redirectsPerS = (1.5 * ACCEPTS_PER_CORE_PER_S * cluster.cpuShare) / otherNodeCount;
    return new FollowerResponder({
      settings: cluster,
      member,
      zone,
      replica,
      leaseExtension: this.leaseExtension,
      redirectBudget: TokenBucket.forSingleTokens(redirectsPerS, redirectsPerS / 2),
      gracePeriodS: timing.gracePeriodS,
    });
  }

  private createCompletionWaiters(): CompletionWaiters {
    const { replica } = this.adapters;
    return new CompletionWaiters((id) => replica.finalRecords.has(id));
  }

  private createReplicaChangeHandler(): ReplicaChangeHandler {
    const { followerResponder, completionWaiters, machineTypes } = this;
    const { leadership, transactions } = this.leader;
    return new ReplicaChangeHandler({
      now: steadyNowS,
      replica: this.adapters.replica,
      leadership,
      followerResponder,
      completionWaiters,
      transactions,
      machineTypes,
    });
  }

  private createPeerMesh(): PeerMesh {
    const { peerAddress, peers, cluster, zone } = this.settings;
    return new PeerMesh({
      listenAddress: peerAddress,
      peerAddresses: peers.map((peer) => peer.address),
      now: steadyNowS,
      heartbeatIntervalS: cluster.heartbeatIntervalS / 8,
      currentHeartbeat: () => ({
        reachesStateService: this.stateContact.reachesStateService(),
        holdsLeadership: this.leader.leadership.current !== null,
        epoch: this.adapters.replica.epoch.value,
        zoneIndex: Math.max(0, cluster.zones.indexOf(zone)),
      }),
    });
  }

  private createNodeHealth(): NodeHealth {
    const { stateContact, peers, leader } = this;
    return new NodeHealth({ stateContact, peers, leadership: leader.leadership });
  }

  private createUserRequestHandler(): UserRequestHandler {
    const { settings, watcher, stateContact, machineTypes, completionWaiters, admission } = this;
    const { replica, tracer } = this.adapters;
    const submissionWriter = this.createSubmissionWriter();
    return new UserRequestHandler({
      cluster: settings.cluster,
      replica,
      watcher,
      stateContact,
      machineTypes,
      submissions: new SubmissionService(replica, watcher, submissionWriter, admission),
      submissionWriter,
      completionWaiters,
      admission,
      tracer,
    });
  }

  private createSubmissionWriter(): SubmissionWriter {
    const { cluster } = this.settings;
    return new SubmissionWriter({
      keyValueClient: this.adapters.keyValueClient,
      writeBudget: this.leader.transactions.writeBudget,
      now: steadyNowS,
      maxChanges: cluster.txnOps,
      maxTransactionBytes: MAXIMUM_TRANSACTION_BYTES,
      maxValueBytes: 1024 * cluster.valueKb,
      maxWaitS: cluster.heartbeatIntervalS / 3,
      gate: this.admission ?? undefined,
    });
  }

  private createWorkerHeartbeatHandler(): WorkerHeartbeatHandler {
    const { settings, stateContact, health, followerResponder, leader } = this;
    const { timing, replica, load } = this.adapters;
    return new WorkerHeartbeatHandler({
      member: settings.member,
      timing,
      now: steadyNowS,
      replica,
      stateContact,
      health,
      leadership: leader.leadership,
      followerResponder,
      load,
      performEffects: (effects) => leader.performEffects(effects),
      onHeartbeatHandled: () => leader.schedulingLoop.requestCycle(),
    });
  }
}
