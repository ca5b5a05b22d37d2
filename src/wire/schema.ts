/** Schemas for what other programs send us, each turned into the field's terms. */
import * as z from "zod";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { ListedMachine, MachineType } from "../core/model/machines.js";
import type { WorkerCommand } from "../core/model/workers.js";
import { COMMAND_FROM_WIRE, KIND_FROM_WIRE, PRIORITY_FROM_WIRE, WIRE_COMMAND } from "./names.js";
import { parseTaskName } from "./worker-heartbeat.js";

/** Keys hold at most 200 bytes without spaces; ours put up to four characters before an id. */
const MAX_ID_BYTES = 190;
const MAX_IMAGE_BYTES = 512;
export const MAX_TASKS_PER_JOB = 100_000;

export const isValidJobId = (id: string): boolean =>
  id.length > 0 &&
  Buffer.byteLength(id) <= MAX_ID_BYTES &&
  /^[\x21-\x7e]+$/.test(id) &&
  !/[/?#%&]/.test(id);

const id = z.string().refine(isValidJobId);
const label = z
  .string()
  .min(1)
  .refine((s) => Buffer.byteLength(s) <= MAX_ID_BYTES);
const finite = z.number().nonnegative().finite();
const whole = z.number().int().nonnegative();
const choice = <V>(m: Record<string, V>) =>
  z.string().transform((s, ctx): V => {
    if (Object.hasOwn(m, s)) return m[s]!;
    ctx.addIssue({ code: "custom", message: "unknown value" });
    return z.NEVER;
  });

const jobSchema = z
  .object({
    nameId: id,
    herd: label,
    outfit: label,
    gait: choice(KIND_FROM_WIRE),
    rank: choice(PRIORITY_FROM_WIRE),
    strides: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
    cpus: finite,
    cards: finite,
    memoryGb: finite,
    tack: z
      .string()
      .min(1)
      .refine((s) => Buffer.byteLength(s) <= MAX_IMAGE_BYTES),
    pullGb: finite,
    breeds: z.array(label).nullish(),
    paddock: label.nullish(),
    together: z.boolean(),
    apart: z.boolean(),
    loaners: z.boolean(),
    rideS: finite,
    restS: finite,
    unsaddleS: finite,
    dueS: finite.nullish(),
    follows: z.array(id).nullish(),
  })
  .refine((j) => j.cpus > 0 || j.cards > 0 || j.memoryGb > 0)
  // All tasks in one zone and at most half of them in any: only one task can obey both.
  .refine((j) => !(j.together && j.apart && j.strides > 1));

export function decodeJob(body: unknown): JobSpec | null {
  const r = jobSchema.safeParse(body);
  if (!r.success) return null;
  const j = r.data;
  const after = [...new Set(j.follows ?? [])];
  return {
    id: j.nameId,
    class: j.herd,
    team: j.outfit,
    kind: j.gait,
    priority: j.rank,
    tasks: j.strides,
    cpus: j.cpus,
    gpus: j.cards,
    memoryGb: j.memoryGb,
    types: j.breeds ?? null,
    zone: j.paddock ?? null,
    oneZone: j.together,
    spread: j.apart,
    spot: j.loaners,
    image: j.tack,
    imageGb: j.pullGb,
    estimateS: j.rideS,
    checkpointS: j.restS,
    saveS: j.unsaddleS,
    deadlineS: j.dueS ?? null,
    ...(after.length > 0 ? { after } : {}),
  };
}

export const encodeJobView = (v: JobView, counts: boolean): Record<string, unknown> =>
  counts
    ? { nameId: v.id, stance: v.state, done: v.done, running: v.running }
    : { nameId: v.id, stance: v.state };

const encodeCommand = (c: WorkerCommand): Record<string, unknown> => {
  const base = { call: WIRE_COMMAND[c.op], stride: `${c.job}/${c.task}`, mounting: c.attempt };
  return c.op === "stop" ? { ...base, easeS: c.graceS } : base;
};

export const encodeCommands = (
  token: number,
  session: number | null,
  commands: readonly WorkerCommand[],
): Record<string, unknown> => ({
  rein: token,
  ...(session === null ? {} : { stint: session }),
  calls: commands.map(encodeCommand),
});

const commandsSchema = z.object({
  rein: whole,
  stint: whole.nullish(),
  calls: z.array(
    z.object({
      call: choice(COMMAND_FROM_WIRE),
      stride: z.string(),
      mounting: whole,
      easeS: finite.nullish(),
    }),
  ),
});

/** What a worker reads, for the stand-in. */
export function decodeCommands(
  body: unknown,
): { token: number; session: number | null; commands: WorkerCommand[] } | null {
  const r = commandsSchema.safeParse(body);
  if (!r.success) return null;
  const commands: WorkerCommand[] = [];
  for (const c of r.data.calls) {
    const at = parseTaskName(c.stride);
    if (at === null) return null;
    const base = { ...at, attempt: c.mounting };
    commands.push(
      c.call === "stop" ? { op: "stop", ...base, graceS: c.easeS ?? 0 } : { op: c.call, ...base },
    );
  }
  return { token: r.data.rein, session: r.data.stint ?? null, commands };
}

export const encodeRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { groom: leader };

const catalogSchema = z.object({
  breeds: z.array(
    z
      .object({
        sku: z.string(),
        cpus: finite,
        cards: finite.nullish(),
        memoryGb: finite,
        localGb: finite.nullish(),
        fetchGbPerS: finite.nullish(),
        hourly: finite,
        spotPrice: finite.nullish(),
        readyS: finite,
        paddocks: z.array(z.string()),
      })
      .transform(
        (t): MachineType => ({
          name: t.sku,
          cpus: t.cpus,
          gpus: t.cards ?? 0,
          memoryGb: t.memoryGb,
          cacheGb: t.localGb ?? 0,
          fetchGbPerS: t.fetchGbPerS ?? 1,
          price: t.hourly,
          spotPrice: t.spotPrice ?? t.hourly,
          bootS: t.readyS,
          zones: t.paddocks,
        }),
      ),
  ),
});

export function decodeCatalog(body: unknown): MachineType[] | null {
  const r = catalogSchema.safeParse(body);
  return r.success ? r.data.breeds : null;
}

const machineListSchema = z.object({ mounts: z.array(z.unknown()), more: z.boolean().nullish() });
const LISTED_STATES = new Set<unknown>(["booting", "running", "failed"]);

/** Lists of many hundred machines come every few seconds, so they are read as tasks are. */
function decodeListedMachine(m: unknown): ListedMachine | null {
  if (typeof m !== "object" || m === null) return null;
  const { nameId, address, breed, paddock, loaners, stance, ageS } = m as Record<string, unknown>;
  if (typeof nameId !== "string" || typeof breed !== "string" || typeof paddock !== "string")
    return null;
  if (typeof loaners !== "boolean" || typeof ageS !== "number" || !LISTED_STATES.has(stance))
    return null;
  return {
    name: nameId,
    address: typeof address === "string" ? address : "",
    type: breed,
    zone: paddock,
    spot: loaners,
    state: stance as ListedMachine["state"],
    ageS,
  };
}

export function decodeMachineList(
  body: unknown,
): { machines: ListedMachine[]; more: boolean } | null {
  const r = machineListSchema.safeParse(body);
  if (!r.success) return null;
  const machines: ListedMachine[] = [];
  for (const x of r.data.mounts) {
    const m = decodeListedMachine(x);
    if (m === null) return null;
    machines.push(m);
  }
  return { machines, more: r.data.more ?? false };
}

const provisionedSchema = z.object({ mounts: z.array(z.string()) });
export function decodeProvisionedMachines(body: unknown): string[] | null {
  const r = provisionedSchema.safeParse(body);
  return r.success ? r.data.mounts : null;
}

export const encodeScaleOut = (
  name: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
) => ({
  hire: name,
  breed: type,
  paddock: zone,
  loaners: spot,
  howMany: count,
});
export const encodeRelease = (machines: readonly string[]) => ({ mounts: machines });
