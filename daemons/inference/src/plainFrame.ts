import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";

/** A part of a plain service's response. The head comes first, followed by the body in parts. */
export type PlainFrame =
    | { kind: "head"; statusCode: number; headers: HeaderField[]; }
    | { kind: "body"; bytes: Uint8Array; };
