/** Real processes on loopback: the term holder is killed while tasks run. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { Peer } from "../src/net/client.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { jobBody, settingsText } from "./helpers.js";
import { freePorts } from "./site.js";
import { CloudStandIn, StateStandIn, WorkerStandIn } from "./stand-ins.js";

const MAIN = fileURLToPath(new URL("../../peatsaddle.js", import.meta.url));

async function until(what: string, f: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (await f()) return;
    await new Promise((r) => setTimeout(r, 100));
  }
  assert.fail(`never: ${what}`);
}

test("killing the term holder loses no job and runs nothing twice", {
  timeout: 120_000,
}, async () => {
  const state = new StateStandIn();
  await state.start();
  const cloud = new CloudStandIn();
  await cloud.start();
  const ports = await freePorts(6);
  const members = [0, 1, 2].map((i) => ({
    member: `n${i}`,
    address: `127.0.0.1:${ports[i]}`,
    mesh: `127.0.0.1:${ports[3 + i]}`,
  }));
  const dir = mkdtempSync(join(tmpdir(), "peatsaddle-"));
  const nodes = new Map<string, ChildProcess>();
  const start = (i: number): void => {
    const m = members[i]!;
    const base = JSON.parse(settingsText()) as { settings: object };
    const file = join(dir, `${m.member}.json`);
    const siblings = members
      .filter((x) => x !== m)
      .map((x) => ({ member: x.member, location: "a", addr: x.mesh }));
    writeFileSync(
      file,
      JSON.stringify({
        ...base,
        member: m.member,
        serve_on: m.address,
        mesh_addr: m.mesh,
        siblings,
        services: { cloud: cloud.address, state: state.address },
        settings: {
          ...base.settings,
          workers: { report_s: 1, lease_s: 6, gang_wait_s: 10, gang_peer_s: 3, cancel_s: 10 },
          state: { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32 },
        },
      }),
    );
    const env = { ...process.env, LOG_LEVEL: "error" };
    nodes.set(
      m.member,
      spawn(process.execPath, [MAIN, "--config", file], { env, stdio: "ignore" }),
    );
  };

  const on = new Map<string, Set<string>>();
  const twice: string[] = [];
  let starts = 0;
  const watch = (task: string, machine: string, running: boolean): void => {
    const where = on.get(task) ?? new Set();
    on.set(task, where);
    if (!running) where.delete(machine);
    else {
      starts++;
      where.add(machine);
      if (where.size > 1) twice.push(`${task} on ${[...where].join(" and ")}`);
    }
  };
  for (let i = 0; i < 4; i++) {
    const w = new WorkerStandIn(`m-${i}`, i % 2 === 0 ? "a" : "b", members, 1500, 300, 6000, watch);
    await w.start();
    cloud.workers.set(w.name, w);
  }
  try {
    for (let i = 0; i < 3; i++) start(i);
    const peers = members.map((m) => new Peer(m.address, 4));
    const ask = async (method: string, path: string, body?: unknown) => {
      for (let i = 0; i < 200; i++) {
        try {
          const r = await peers[i % 3]!.request(
            method,
            path,
            body === undefined ? null : encode(body),
            2000,
          );
          if (r.status < 429)
            return { status: r.status, body: decode(r.body) as { stance?: string } };
        } catch {
          // A killed node; the next one is asked.
        }
        await new Promise((r) => setTimeout(r, 100));
      }
      assert.fail(`no answer to ${method} ${path}`);
    };
    const ids = Array.from({ length: 6 }, (_, i) => `run-${i}`);
    for (const id of ids) {
      const body = jobBody({ nameId: id, strides: 8, outfit: "maps" });
      // 200 if the answer to a first try was late and it was asked again.
      assert.ok((await ask("POST", "/api/jobs", body)).status <= 201);
    }
    await until("tasks run", () => starts >= 8);
    const lead = state.keys.get("lead");
    assert.ok(lead !== undefined);
    const holder = (lead.data as { member: string }).member;
    nodes.get(holder)?.kill("SIGKILL");
    const stance = async (id: string) => (await ask("GET", `/api/jobs/${id}`)).body.stance;
    await until("another holder", () => {
      const now = state.keys.get("lead")?.data as { member: string } | undefined;
      return now !== undefined && now.member !== holder;
    });
    for (const id of ids) await until(`${id} is done`, async () => (await stance(id)) === "done");
    assert.deepEqual(twice, []);
    assert.equal(starts >= 48, true);
    const again = await ask("POST", "/api/jobs", jobBody({ nameId: ids[0], strides: 1 }));
    assert.deepEqual([again.status, again.body.stance], [200, "done"]);
    assert.equal((await ask("GET", "/api/jobs/run-nobody")).status, 404);

    // A holder stands still while its clocks run, and another takes the term. What it had in its buffers
    // when it wakes (due timers, reports, answers) must start nothing.
    const held = Array.from({ length: 4 }, (_, i) => `held-${i}`);
    for (const id of held) {
      await ask("POST", "/api/jobs", jobBody({ nameId: id, strides: 8, outfit: "maps" }));
    }
    const still = (state.keys.get("lead")!.data as { member: string }).member;
    nodes.get(still)!.kill("SIGSTOP");
    await until("another holder while one stands still", () => {
      const now = state.keys.get("lead")?.data as { member: string } | undefined;
      return now !== undefined && now.member !== still;
    });
    await new Promise((r) => setTimeout(r, 1500));
    const epoch = (state.keys.get("epoch")!.data as { n: number }).n;
    nodes.get(still)!.kill("SIGCONT");
    for (const id of held) await until(`${id} is done`, async () => (await stance(id)) === "done");
    assert.deepEqual(twice, []);
    assert.ok((state.keys.get("epoch")!.data as { n: number }).n >= epoch);

    // Everything restarts in the middle of an election, each process back at once, with its former
    // self's requests still under way: once it is over, every node answers about every job.
    const late = Array.from({ length: 4 }, (_, i) => `late-${i}`);
    for (const id of late) await ask("POST", "/api/jobs", jobBody({ nameId: id, outfit: "maps" }));
    for (let round = 0; round < 2; round++) {
      for (const n of nodes.values()) n.kill("SIGKILL");
      for (let i = 0; i < 3; i++) start(i);
      await new Promise((r) => setTimeout(r, round === 0 ? 700 : 0));
    }
    for (const id of [...ids, ...late]) {
      for (const p of peers) {
        await until(`${id} is known everywhere`, async () => {
          const r = await p.request("GET", `/api/jobs/${id}`, null, 2000).catch(() => null);
          assert.notEqual(r?.status, 404);
          return r?.status === 200;
        });
      }
      await until(`${id} is done after all`, async () => (await stance(id)) === "done");
    }
    assert.deepEqual(twice, []);
    for (const p of peers) p.close();
  } finally {
    for (const n of nodes.values()) n.kill("SIGKILL");
    cloud.stop();
    state.stop();
  }
});
