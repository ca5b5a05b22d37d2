#!/usr/bin/env node
/** Entry point of the deployed program: runs the bundle, or the ES modules if no bundle was built. */
import { loadBundle } from "./bundle/bundle.cjs";

const program = loadBundle();
if (program !== null) {
  void program.runProgram();
} else {
  void import("./main.js");
}
