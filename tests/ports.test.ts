/** Tests that test processes which run at the same time never use the same ports. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";

const PROCESSES = 3;
const ADDRESSES_PER_PROCESS = 5;
const FIND_ADDRESSES = `
  Object.defineProperty(process, "pid", { value: 110_000 });
  const { findUnusedAddresses } = await import(${JSON.stringify(import.meta.resolve("./support/ports.js"))});
  console.log((await findUnusedAddresses(${ADDRESSES_PER_PROCESS})).join(" "));
  await new Promise((resolve) => process.stdin.on("end", resolve).resume());
`;

async function firstLine(child: ChildProcess): Promise<string> {
  const [line] = (await once(createInterface({ input: child.stdout! }), "line")) as [string];
  return line;
}

// Ports computed from the process id were the same for ids 110 apart, and two clusters then answered for each other.
// All processes get the same id here, and none has started its servers yet when the next one looks for ports.
test("processes whose ids lead to the same block of ports get different ports", async () => {
  const children = Array.from({ length: PROCESSES }, () =>
    spawn(process.execPath, ["--input-type=module", "--eval", FIND_ADDRESSES], {
      stdio: ["pipe", "pipe", "inherit"],
    }),
  );
  try {
    const lines = await Promise.all(children.map(firstLine));
    const addresses = lines.flatMap((line) => line.split(" "));
    assert.equal(addresses.length, PROCESSES * ADDRESSES_PER_PROCESS);
    assert.equal(new Set(addresses).size, addresses.length, lines.join(" | "));
  } finally {
    for (const child of children) child.stdin!.end();
  }
});
