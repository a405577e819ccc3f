import type { PromptKeys } from "./promptKeys.js";

/** Bounds this process's memory for one upstream if parts are small. */
const MAX_PARTS = 1024;

/** The prompt parts that one process of an upstream probably keeps: the most recently used ones up to a number of tokens. */
export class KeptParts {
    readonly startedAtMs: number;
    /** Tokens by key, the least recently used first. */
    private readonly tokensByKey = new Map<number, number>();
    private tokenCount = 0;

    constructor(opts: { startedAtMs: number; }) {
        this.startedAtMs = opts.startedAtMs;
    }

    /** Returns the tokens of the parts that are kept, up to the first one that is missing. */
    keptTokens({ keys, tokens }: PromptKeys): number {
        let kept = 0;
        for (let index = 0; index < keys.length && this.tokensByKey.has(keys[index]!); index += 1) {
            kept += tokens[index]!;
        }
        return kept;
    }

    /**
     * Records that the upstream has read a prompt, and evicts down to `maxTokens`. The first part of the prompt counts as
     * most recently used, since the others need it.
     */
    add({ keys, tokens }: PromptKeys, maxTokens: number): void {
        for (let index = keys.length - 1; index >= 0; index -= 1) {
            this.remove(keys[index]!);
            this.tokensByKey.set(keys[index]!, tokens[index]!);
            this.tokenCount += tokens[index]!;
        }
        for (const key of this.tokensByKey.keys()) {
            if (this.tokenCount <= maxTokens && this.tokensByKey.size <= MAX_PARTS) {
                return;
            }
            this.remove(key);
        }
    }

    private remove(key: number): void {
        this.tokenCount -= this.tokensByKey.get(key) ?? 0;
        this.tokensByKey.delete(key);
    }
}
