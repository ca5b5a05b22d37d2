#!/usr/bin/env node
/** Entry point that runs the ES modules directly; the deployed program runs its bundle (`peatsaddle.cts`). */
import { runProgram } from "./cli.js";

await runProgram();
