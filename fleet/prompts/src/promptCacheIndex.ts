import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { KeptParts } from "./keptParts.js";
import type { PromptKeys } from "./promptKeys.js";

/** Tokens that an upstream is expected to keep. */
const KEPT_TOKENS = 65_536;
/** Bounds the memory of this process. The upstream whose response began longest ago is dropped. */
const MAX_UPSTREAMS = 256;

type UpstreamProcess = Pick<Upstream, "id" | "startedAtMs">;

/** Which upstream process probably keeps which parts of prompts, from the responses that this process has received. */
export class PromptCacheIndex {
    private readonly processes: () => number;
    private readonly keptById = new Map<UpstreamId, KeptParts>();

    /** @param opts.processes returns the number of processes that place requests, which share the upstreams' caches */
    constructor(opts: { processes: () => number; }) {
        this.processes = opts.processes;
    }

    /** Returns the tokens of a prompt that an upstream probably doesn't read again. */
    keptTokens(upstream: UpstreamProcess, prompt: PromptKeys): number {
        const kept = this.keptById.get(upstream.id);
        return kept?.startedAtMs === upstream.startedAtMs ? kept.keptTokens(prompt) : 0;
    }

    /** Records that an upstream has read a prompt. */
    add(upstream: UpstreamProcess, prompt: PromptKeys): void {
        const known = this.keptById.get(upstream.id);
        if (known !== undefined && known.startedAtMs > upstream.startedAtMs) {
            return;
        }
        const kept = known?.startedAtMs === upstream.startedAtMs
            ? known
            : new KeptParts({ startedAtMs: upstream.startedAtMs });
        this.keptById.delete(upstream.id);
        this.keptById.set(upstream.id, kept);
        kept.add(prompt, KEPT_TOKENS / this.processes());
        if (this.keptById.size > MAX_UPSTREAMS) {
            this.keptById.delete(this.keptById.keys().next().value!);
        }
    }

    /** Drops what is known of an upstream that has left. */
    forget(id: UpstreamId): void {
        this.keptById.delete(id);
    }
}
