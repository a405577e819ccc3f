import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { BackendCallOptions } from "./backendCallOptions.js";

/** Runs callers' requests at upstreams. Throws a `KnapweedError` whose outcome says whether the request was run. */
export interface InferenceBackend {
    /** Yields the events of a generation. A complete generation ends with the finish event. */
    generate(
        opts: BackendCallOptions & { service: ServiceDefinition; request: GenerateRequest; },
    ): AsyncIterable<GenerateEvent>;
    /** Returns the body of the upstream's response. */
    embed(opts: BackendCallOptions & { service: ServiceDefinition; body: JsonObject; }): Promise<JsonObject>;
    /**
     * Yields the response of a plain service: the head first, followed by the body in parts.
     *
     * @param opts.body the chunks of the request's body; undefined if it has none
     */
    callPlain(
        opts: BackendCallOptions & {
            service: ServiceDefinition;
            method: string;
            path: string;
            headers: HeaderField[];
            body: AsyncIterable<Uint8Array> | undefined;
        },
    ): AsyncIterable<PlainFrame>;
}
