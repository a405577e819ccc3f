const PROMPT_FAULTS = ["never-completes", "crash", "malformed"] as const;

/** Returns the fault that a prompt asks for by a marker such as `[never-completes]`, or undefined if there is none. */
export function promptFaultOf(prompt: string): typeof PROMPT_FAULTS[number] | undefined {
    return PROMPT_FAULTS.find(fault => prompt.includes(`[${fault}]`));
}
