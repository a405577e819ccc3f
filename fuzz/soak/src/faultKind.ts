import type { faultKinds } from "./faultKinds.js";

/** A kind of trouble. */
export type FaultKind = typeof faultKinds[number];
