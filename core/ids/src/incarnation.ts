import type { Brand } from "./brand.js";

/** Number that increases with each start of a process; distinguishes it from an earlier one at the same address. */
export type Incarnation = Brand<number, "Incarnation">;
