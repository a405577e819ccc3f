import type { Brand } from "./brand.js";

/** Id of an input or output file of batch jobs. */
export type FileId = Brand<string, "FileId">;
