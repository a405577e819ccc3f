const MAX_TOKENS = 24;

/** Builds a batch file in the format of the OpenAI API. Items with an index in `failingItems` never complete. */
export function buildBatchInput(opts: { itemCount: number; failingItems: Set<number>; }): string {
    return Array.from({ length: opts.itemCount }, (_, index) => {
        const marker = opts.failingItems.has(index) ? " [never-completes]" : "";
        const body = {
            model: "demo-chat",
            messages: [{ role: "user", content: `Assess lot ${index}.${marker}` }],
            max_tokens: MAX_TOKENS,
            user: `item-${index}`,
        };
        return `${JSON.stringify({ custom_id: `lot-${index}`, method: "POST", url: "/v1/chat/completions", body })}\n`;
    }).join("");
}
