#!/usr/bin/env node
/** The program, from its bundle; from the modules where there is none. */
import { loadBundle } from "./bundle/bundle.cjs";

const program = loadBundle();
if (program !== null) void program.runProgram();
else void import("./main.js");
