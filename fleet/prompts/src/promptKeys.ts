/** The parts of one prompt as keys. The key of a part stands for it together with all parts before it. */
export interface PromptKeys {
    /** Shape [parts]. */
    keys: readonly number[];
    /** Numbers of tokens, shape [parts]. */
    tokens: readonly number[];
    totalTokens: number;
    /** Tokens of all parts but the last, which belongs to the request or its session. */
    sharedTokens: number;
    /** Key of the last shared part; 0 if there is none. */
    sharedKey: number;
}
