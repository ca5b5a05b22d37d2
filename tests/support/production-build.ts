/** Builds the version that runs in production from its commit in this repository, with its own lock file. */
import { execFileSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Thrown when the production commit is not configured or its build produces no program. */
export class ProductionBuildError extends Error {
  override readonly name = "ProductionBuildError";
}

const REPOSITORY = fileURLToPath(new URL("../../../../", import.meta.url));

/** Runs a program and returns its output; throws if it fails. */
const runCommand = (command: string, args: readonly string[], cwd: string): string =>
  execFileSync(command, args, { cwd, encoding: "utf8", stdio: ["ignore", "pipe", "pipe"] });

/** The commit that `deploy/service.toml` names as the version in production. */
function productionCommit(): string {
  const text = readFileSync(join(REPOSITORY, "deploy/service.toml"), "utf8");
  const match = /^production = "([0-9a-f]{40})"$/m.exec(text);
  if (match === null)
    throw new ProductionBuildError("deploy/service.toml names no production commit");
  return match[1]!;
}

/** Whether the repository contains the production commit. A copy without history or a shallow clone may lack it. */
export function isProductionCommitAvailable(): boolean {
  try {
    runCommand("git", ["cat-file", "-e", `${productionCommit()}^{commit}`], REPOSITORY);
    return true;
  } catch {
    return false;
  }
}

/** Builds the production version in a temporary folder and returns the path of its program. */
export function buildProductionVersion(): string {
  const folder = mkdtempSync(join(tmpdir(), "peatsaddle-production-"));
  const archive = join(folder, "sources.tar");
  runCommand("git", ["archive", "--output", archive, productionCommit()], REPOSITORY);
  runCommand("tar", ["-xf", archive], folder);
  runCommand("npm", ["ci", "--silent"], folder);
  runCommand("npm", ["run", "--silent", "build"], folder);
  const program = join(folder, "target/peatsaddle.js");
  if (!existsSync(program))
    throw new ProductionBuildError("the build of the production version produced no program");
  return program;
}
