const POISONS = ["never-completes", "crash", "malformed"] as const;

/** How a prompt says that it can't be answered, such as `[never-completes]`; undefined for other prompts. */
export function poisonOf(prompt: string): typeof POISONS[number] | undefined {
    return POISONS.find(poison => prompt.includes(`[${poison}]`));
}
