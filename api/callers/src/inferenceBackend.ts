import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { BackendCallOptions } from "./backendCallOptions.js";

/** Runs callers' requests at upstreams. Throws `KnapweedError` with an accurate outcome. */
export interface InferenceBackend {
    generate(
        opts: BackendCallOptions & { service: ServiceDefinition; request: GenerateRequest; },
    ): AsyncIterable<GenerateEvent>;
    embed(opts: BackendCallOptions & { service: ServiceDefinition; body: JsonObject; }): Promise<JsonObject>;
    /** @param opts.body the chunks of the request's body; undefined if it has none */
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
