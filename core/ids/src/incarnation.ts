import type { Brand } from "./brand.js";

export type Incarnation = Brand<number, "Incarnation">;
