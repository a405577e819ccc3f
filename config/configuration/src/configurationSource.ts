import type { ConfigurationView } from "./configurationView.js";

/** Where a process finds the configuration in force. */
export interface ConfigurationSource {
    /** The newest configuration known here; undefined before the first. */
    current(): ConfigurationView | undefined;
    /** Calls `listener` for each newer configuration. @returns a function that stops it */
    subscribe(listener: (view: ConfigurationView) => void): () => void;
}
