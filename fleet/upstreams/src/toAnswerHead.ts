import { hopByHopHeaders } from "@knapweedwood/daemons.inference/hopByHopHeaders";
import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHead } from "./answerHead.js";

/** Keeps the headers of an answer that are passed on. */
export function toAnswerHead(statusCode: number, headers: IncomingHttpHeaders): AnswerHead {
    const list = Object.entries(headers)
        .filter(([name]) => !hopByHopHeaders.has(name))
        .flatMap(([name, value]) => [value ?? []].flat().flatMap(single => [name, single]));
    return {
        statusCode,
        headers: list,
        header: name => [headers[name] ?? []].flat()[0],
    };
}
