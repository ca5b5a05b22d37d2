/** The machine types in the catalog that the tests use. */
import type { MachineType } from "../../src/core/model/machines.js";

const ZONES = ["a", "b"];

/** One machine type without GPUs and one with GPUs. */
export const MACHINE_TYPES: MachineType[] = [
  {
    name: "small",
    cpus: 4,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 40,
    fetchGbPerS: 0.5,
    price: 0.2,
    spotPrice: 0.1,
    bootS: 15,
    zones: ZONES,
  },
  {
    name: "big",
    cpus: 8,
    gpus: 4,
    memoryGb: 64,
    cacheGb: 40,
    fetchGbPerS: 0.5,
    price: 9,
    spotPrice: 3,
    bootS: 60,
    zones: ZONES,
  },
];
