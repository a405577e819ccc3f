import type { Brand } from "./brand.js";

export type FileId = Brand<string, "FileId">;
