import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";

/** A part of a plain service's answer: first the head, then the body. */
export type PlainFrame =
    | { kind: "head"; statusCode: number; headers: HeaderField[]; }
    | { kind: "body"; bytes: Uint8Array; };
