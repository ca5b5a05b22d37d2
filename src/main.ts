#!/usr/bin/env node
/** Entry point from the modules; the deployed program starts from its bundle (`peatsaddle.cts`). */
import { runProgram } from "./cli.js";

await runProgram();
