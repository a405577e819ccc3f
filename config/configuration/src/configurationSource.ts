import type { ConfigurationView } from "./configurationView.js";

/** Gives a process access to the active configuration. */
export interface ConfigurationSource {
    /** Returns the newest configuration of this process, or undefined if it has not received one yet. */
    current(): ConfigurationView | undefined;
    /** Calls `listener` with each newer configuration. @returns a function that removes the listener */
    subscribe(listener: (view: ConfigurationView) => void): () => void;
}
