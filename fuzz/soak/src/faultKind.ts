import type { faultKinds } from "./faultKinds.js";

/** A kind of fault. */
export type FaultKind = typeof faultKinds[number];
