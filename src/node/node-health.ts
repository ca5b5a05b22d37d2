/** Whether a node is of use to users, and with whom it is in contact. */
import type { NodeConnectivity } from "../core/leadership/standby-responder.js";
import type { PeerMesh } from "../peers/peer-mesh.js";
import type { Leadership } from "./leadership.js";
import type { StateContact } from "./state-contact.js";

/** Other nodes that are enough for the users: one may end and two are left. */
const SUFFICIENT_PEERS = 3;

/** What a node's health is judged by. */
export interface NodeHealthOptions {
  readonly stateContact: StateContact;
  readonly peers: PeerMesh;
  readonly leadership: Leadership;
}

/** Health of one node, for load balancers and for its own decisions. */
export class NodeHealth {
  private isSheddingUsers = false;

  constructor(private readonly options: NodeHealthOptions) {}

  /**
   * A node that alone cannot reach the state service is of no use to users. If no other reaches
   * it either, it is down for all, and failed health checks would only delay the return.
   */
  isHealthy(): boolean {
    const { stateContact, peers } = this.options;
    const isUseful = stateContact.reachesStateService() || !peers.anyPeerReachesStateService();
    return stateContact.isLoaded && isUseful && !this.shedsUsers();
  }

  /**
   * The leader has most to do: where enough others are in contact, they serve the users, who then notice
   * neither its slow scheduling cycles nor its end.
   */
  shedsUsers(): boolean {
    if (this.options.leadership.current === null) {
      this.isSheddingUsers = false;
    } else {
      // One peer fewer than it takes to begin, so that a single peer that comes and goes changes nothing.
      const peersInContact = this.options.peers.peersInContact();
      this.isSheddingUsers =
        peersInContact >= SUFFICIENT_PEERS ||
        (this.isSheddingUsers && peersInContact >= SUFFICIENT_PEERS - 1);
    }
    return this.isSheddingUsers;
  }

  /** With whom this node is in contact now. */
  connectivity(): NodeConnectivity {
    const { stateContact, peers } = this.options;
    return {
      replicaLoaded: stateContact.isLoaded,
      reachesState: stateContact.reachesStateService(),
      peerReachesState: peers.anyPeerReachesStateService(),
      leaderHeartbeatRecent: peers.isLeaderInContact(),
    };
  }
}
