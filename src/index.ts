/** What programs that embed peatsaddle may rely on. */
export * from "./algebra/expression.js";
export { DEFAULT_OPERATOR, decodeOperator, type Operator } from "./config/operator.js";
export { Controller } from "./controller.js";
export * from "./core/model.js";
export * from "./core/pipeline.js";
export { decodeSettings, type Settings } from "./wire/settings.js";
