/** Health of a node, and its connectivity to the state service and to peers. */
import type { NodeConnectivity } from "../core/leadership/follower-responder.js";
import type { PeerMesh } from "../peers/peer-mesh.js";
import type { Leadership } from "./leadership.js";
import type { StateContact } from "./state-contact.js";

/** Number of other nodes that suffices to serve users without the leader: if one of them fails, two are left. */
const SUFFICIENT_PEERS = 3;

/** Dependencies of `NodeHealth`. */
export interface NodeHealthOptions {
  readonly stateContact: StateContact;
  readonly peers: PeerMesh;
  readonly leadership: Leadership;
}

/** Determines the health of one node, for load balancers and for the node's own decisions. */
export class NodeHealth {
  private isSheddingUsers = false;

  constructor(private readonly options: NodeHealthOptions) {}

  /**
   * A node is unhealthy if it cannot reach the state service while another node can. If no node can reach it, the
   * state service is down for all, and failing the health check would only delay the recovery. The node is also
   * unhealthy before the replica is loaded, and while it sheds users.
   */
  isHealthy(): boolean {
    const { stateContact, peers } = this.options;
    const hasContactIfAnyNodeHas =
      stateContact.reachesStateService() || !peers.anyPeerReachesStateService();
    return stateContact.isReplicaLoaded && hasContactIfAnyNodeHas && !this.shedsUsers();
  }

  /**
   * Whether users should move to other nodes. The leader has the most work, so if enough other nodes are in contact
   * with the state service, they serve the users. Slow scheduling cycles or a failure of the leader then do not
   * affect users.
   */
  shedsUsers(): boolean {
    if (this.options.leadership.current === null) {
      this.isSheddingUsers = false;
    } else {
      // Hysteresis: shedding continues with one peer fewer than it takes to start, so that one unstable peer does not
      // switch it on and off.
      const peersInContact = this.options.peers.peersInContact();
      this.isSheddingUsers =
        peersInContact >= SUFFICIENT_PEERS ||
        (this.isSheddingUsers && peersInContact >= SUFFICIENT_PEERS - 1);
    }
    return this.isSheddingUsers;
  }

  /** Current connectivity of this node to the state service, peers and the leader. */
  connectivity(): NodeConnectivity {
    const { stateContact, peers } = this.options;
    return {
      replicaLoaded: stateContact.isReplicaLoaded,
      reachesState: stateContact.reachesStateService(),
      peerReachesState: peers.anyPeerReachesStateService(),
      leaderHeartbeatRecent: peers.isLeaderInContact(),
    };
  }
}
