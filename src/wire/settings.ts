/** Decodes the settings file that the platform provides. Unknown fields are ignored. */
import * as z from "zod";
import type { ClusterSettings, Objective, Team } from "../core/model/settings.js";

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "not an address host:port");
const nonNegative = z.number().nonnegative();
const positive = z.number().positive();

const settingsSchema = z.object({
  member: z.string().min(1),
  location: z.string().min(1),
  serve_on: address,
  mesh_addr: address,
  siblings: z.array(
    z.object({ member: z.string().min(1), location: z.string().min(1), addr: address }),
  ),
  services: z.object({ cloud: address, state: address }),
  settings: z.object({
    nodes: z.number().int().positive(),
    zones: z.array(z.string().min(1)).min(1),
    teams: z.array(
      z.object({
        name: z.string().min(1),
        cpus: nonNegative.default(0),
        cpus_max: nonNegative.default(0),
        gpus: nonNegative.default(0),
        gpus_max: nonNegative.default(0),
      }),
    ),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().nullish(),
          within_s: nonNegative.nullish(),
          share: nonNegative.default(0),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: z.number().int().positive(),
      // Limits that will replace those above at an unannounced time.
      next: z
        .object({
          rps: positive.nullish(),
          write_rps: positive.nullish(),
          value_kb: positive.nullish(),
          txn_ops: z.number().int().positive().nullish(),
        })
        .nullish(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: nonNegative }),
    resources: z.object({ cpu_share: positive, mem_mb: positive, sockets: positive }),
    clock_off_ms: nonNegative,
  }),
});

/** Another controller of the cluster. */
export interface PeerNode {
  readonly member: string;
  readonly zone: string;
  /** The address on which it listens for peer heartbeats. */
  readonly address: string;
}

/** The settings of one controller. All addresses have the form `host:port`. */
export interface NodeSettings {
  readonly member: string;
  readonly zone: string;
  /** The address on which this controller listens for users and workers. */
  readonly listenAddress: string;
  /** The address on which this controller listens for peer heartbeats. */
  readonly peerAddress: string;
  readonly peers: readonly PeerNode[];
  readonly cloudAddress: string;
  readonly stateServiceAddress: string;
  readonly cluster: ClusterSettings;
}

/** The decoded settings, or one line for each invalid field, beginning with the path of the field. */
export type DecodedSettings =
  | { readonly kind: "ok"; readonly settings: NodeSettings }
  | { readonly kind: "invalid"; readonly faults: readonly string[] };

/** Decodes the text of the settings file. */
export function decodeSettings(text: string): DecodedSettings {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return { kind: "invalid", faults: [`(file): not JSON: ${(error as Error).message}`] };
  }
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) return { kind: "ok", settings: toNodeSettings(parsed.data) };
  const faults = parsed.error.issues.map(
    (issue) => `${issue.path.join(".") || "(file)"}: ${issue.message}`,
  );
  return { kind: "invalid", faults };
}

type WireSettings = z.infer<typeof settingsSchema>;
type WireClusterSettings = WireSettings["settings"];

const toNodeSettings = (file: WireSettings): NodeSettings => ({
  member: file.member,
  zone: file.location,
  listenAddress: file.serve_on,
  peerAddress: file.mesh_addr,
  peers: file.siblings.map(toPeerNode),
  cloudAddress: file.services.cloud,
  stateServiceAddress: file.services.state,
  cluster: toClusterSettings(file.settings),
});

const toPeerNode = (sibling: WireSettings["siblings"][number]): PeerNode => ({
  member: sibling.member,
  zone: sibling.location,
  address: sibling.addr,
});

const toClusterSettings = (cluster: WireClusterSettings): ClusterSettings => ({
  nodes: cluster.nodes,
  zones: cluster.zones,
  teams: cluster.teams.map(toTeam),
  objectives: cluster.objectives.map(toObjective),
  heartbeatIntervalS: cluster.workers.report_s,
  leaseS: cluster.workers.lease_s,
  gangWaitS: cluster.workers.gang_wait_s,
  gangPeerS: cluster.workers.gang_peer_s,
  cancelS: cluster.workers.cancel_s,
  ...stateLimits(cluster.state),
  cloudRps: cluster.cloud.rps,
  listLagS: cluster.cloud.list_lag_s,
  cpuShare: cluster.resources.cpu_share,
  memoryMb: cluster.resources.mem_mb,
  sockets: cluster.resources.sockets,
  clockOffMs: cluster.clock_off_ms,
});

const toTeam = (team: WireClusterSettings["teams"][number]): Team => ({
  name: team.name,
  cpus: team.cpus,
  cpusMax: team.cpus_max,
  gpus: team.gpus,
  gpusMax: team.gpus_max,
});

const toObjective = (objective: WireClusterSettings["objectives"][number]): Objective => ({
  kind: objective.kind,
  class: objective.class ?? null,
  withinS: objective.within_s ?? null,
  share: objective.share,
});

/** Uses the smaller of the current and the next limit from the start, so that no change has to be detected later. */
const stateLimits = ({ next, ...current }: WireClusterSettings["state"]) => ({
  stateRps: Math.min(current.rps, next?.rps ?? Infinity),
  stateWriteRps: Math.min(current.write_rps, next?.write_rps ?? Infinity),
  valueKb: Math.min(current.value_kb, next?.value_kb ?? Infinity),
  txnOps: Math.min(current.txn_ops, next?.txn_ops ?? Infinity),
});
