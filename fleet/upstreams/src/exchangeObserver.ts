import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ResponseHead } from "./responseHead.js";

/** Is told of all requests to upstreams and of all their responses. */
export interface ExchangeObserver {
    onSent(upstream: Upstream): void;
    onResponse(upstream: Upstream, head: ResponseHead): void;
}
