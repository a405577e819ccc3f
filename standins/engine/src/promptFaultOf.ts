const PROMPT_FAULTS = ["never-completes", "crash", "malformed"] as const;

/** How a prompt says that it can't be answered, such as `[never-completes]`; undefined for other prompts. */
export function promptFaultOf(prompt: string): typeof PROMPT_FAULTS[number] | undefined {
    return PROMPT_FAULTS.find(fault => prompt.includes(`[${fault}]`));
}
