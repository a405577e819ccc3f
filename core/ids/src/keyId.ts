import type { Brand } from "./brand.js";

/** Id of an API key; distinct from the secret of the key. */
export type KeyId = Brand<string, "KeyId">;
