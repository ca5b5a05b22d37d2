/**
 * The public API for programs that embed peatsaddle: the controller and its settings, the types of the core, and the
 * algebra of job dependencies. Admission control alone is exported as `peatsaddle/admission`.
 */
export * from "./algebra/expression.js";
export {
  DEFAULT_OPERATOR_SETTINGS,
  decodeOperatorSettings,
  type OperatorSettings,
} from "./config/operator.js";
export * from "./core/jobs/pipeline.js";
export * from "./core/model/constants.js";
export * from "./core/model/jobs.js";
export * from "./core/model/machines.js";
export * from "./core/model/settings.js";
export * from "./core/model/workers.js";
export { Controller } from "./node/controller.js";
export { decodeSettings, type NodeSettings } from "./wire/settings.js";
