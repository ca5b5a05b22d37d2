#!/usr/bin/env node
/** The program. */
import { runProgram } from "./cli.js";

await runProgram();
