/** The settings file that the platform hands over. Fields we do not know are ignored. */
import * as z from "zod";
import type { ClusterSettings } from "../core/model/settings.js";

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "not an address host:port");
const amount = z.number().nonnegative();
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
        cpus: amount.default(0),
        cpus_max: amount.default(0),
        gpus: amount.default(0),
        gpus_max: amount.default(0),
      }),
    ),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().nullish(),
          within_s: amount.nullish(),
          share: amount.default(0),
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
      // What holds from some moment on that nobody announces.
      next: z
        .object({
          rps: positive.nullish(),
          write_rps: positive.nullish(),
          value_kb: positive.nullish(),
          txn_ops: z.number().int().positive().nullish(),
        })
        .nullish(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    resources: z.object({ cpu_share: positive, mem_mb: positive, sockets: positive }),
    clock_off_ms: amount,
  }),
});

export interface PeerNode {
  readonly member: string;
  readonly zone: string;
  readonly address: string;
}
export interface NodeSettings {
  readonly member: string;
  readonly zone: string;
  readonly listenAddress: string;
  readonly peerAddress: string;
  readonly peers: readonly PeerNode[];
  readonly cloudAddress: string;
  readonly stateServiceAddress: string;
  readonly cluster: ClusterSettings;
}

/** Either the settings or one line a fault, each naming its field. */
export function decodeSettings(text: string): { settings: NodeSettings } | { faults: string[] } {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (e) {
    return { faults: [`(file): not JSON: ${(e as Error).message}`] };
  }
  const r = settingsSchema.safeParse(raw);
  if (!r.success) {
    return { faults: r.error.issues.map((i) => `${i.path.join(".") || "(file)"}: ${i.message}`) };
  }
  const s = r.data;
  const c = s.settings;
  return {
    settings: {
      member: s.member,
      zone: s.location,
      listenAddress: s.serve_on,
      peerAddress: s.mesh_addr,
      peers: s.siblings.map((x) => ({ member: x.member, zone: x.location, address: x.addr })),
      cloudAddress: s.services.cloud,
      stateServiceAddress: s.services.state,
      cluster: {
        nodes: c.nodes,
        zones: c.zones,
        teams: c.teams.map((t) => ({
          name: t.name,
          cpus: t.cpus,
          cpusMax: t.cpus_max,
          gpus: t.gpus,
          gpusMax: t.gpus_max,
        })),
        objectives: c.objectives.map((o) => ({
          kind: o.kind,
          class: o.class ?? null,
          withinS: o.within_s ?? null,
          share: o.share,
        })),
        heartbeatIntervalS: c.workers.report_s,
        leaseS: c.workers.lease_s,
        gangWaitS: c.workers.gang_wait_s,
        gangPeerS: c.workers.gang_peer_s,
        cancelS: c.workers.cancel_s,
        // The smaller of both from the start: nothing need be noticed when the limits change.
        stateRps: Math.min(c.state.rps, c.state.next?.rps ?? Infinity),
        stateWriteRps: Math.min(c.state.write_rps, c.state.next?.write_rps ?? Infinity),
        valueKb: Math.min(c.state.value_kb, c.state.next?.value_kb ?? Infinity),
        txnOps: Math.min(c.state.txn_ops, c.state.next?.txn_ops ?? Infinity),
        cloudRps: c.cloud.rps,
        listLagS: c.cloud.list_lag_s,
        cpuShare: c.resources.cpu_share,
        memoryMb: c.resources.mem_mb,
        sockets: c.resources.sockets,
        clockOffMs: c.clock_off_ms,
      },
    },
  };
}
