const POISONS = ["never-completes", "crash", "malformed"] as const;

/**
 * Returns the kind of failure that a marker in the prompt requests, such as `[never-completes]`. Returns undefined if
 * there is no marker.
 */
export function poisonOf(prompt: string): typeof POISONS[number] | undefined {
    return POISONS.find(poison => prompt.includes(`[${poison}]`));
}
