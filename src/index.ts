/** What programs that embed peatsaddle may rely on. */
export * from "./algebra/expression.js";
export {
  DEFAULT_OPERATOR_SETTINGS as DEFAULT_OPERATOR,
  decodeOperatorSettings as decodeOperator,
  type OperatorSettings as Operator,
} from "./config/operator.js";
export * from "./core/jobs/pipeline.js";
export * from "./core/model/constants.js";
export * from "./core/model/jobs.js";
export * from "./core/model/machines.js";
export * from "./core/model/settings.js";
export * from "./core/model/workers.js";
export { Controller } from "./node/controller.js";
export { decodeSettings, type NodeSettings as Settings } from "./wire/settings.js";
