const PROMPT_FAULTS = ["never-completes", "crash", "malformed"] as const;

/**
 * Returns the kind of failure that a marker in the prompt requests, such as `[never-completes]`. Returns undefined if
 * there is no marker.
 */
export function promptFaultOf(prompt: string): typeof PROMPT_FAULTS[number] | undefined {
    return PROMPT_FAULTS.find(fault => prompt.includes(`[${fault}]`));
}
