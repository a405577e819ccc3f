import type { Brand } from "./brand.js";

/** Id of an instance in the handshake of links and in the instance list. */
export type InstanceId = Brand<string, "InstanceId">;
