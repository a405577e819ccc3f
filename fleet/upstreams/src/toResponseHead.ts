import { forwardableHeaders } from "@knapweedwood/core.http-headers/forwardableHeaders";
import type { IncomingHttpHeaders } from "node:http";
import type { ResponseHead } from "./responseHead.js";

/** Converts the status and headers of a response, keeping the headers that are forwarded. */
export function toResponseHead(statusCode: number, headers: IncomingHttpHeaders): ResponseHead {
    const raw = Object.entries(headers)
        .flatMap(([name, value]) => [value ?? []].flat().flatMap(single => [name, single]));
    return {
        statusCode,
        headers: forwardableHeaders(raw).flatMap(field => [field.name, field.value]),
        header: name => [headers[name] ?? []].flat()[0],
    };
}
