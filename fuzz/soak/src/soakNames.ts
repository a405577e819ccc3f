/** Host that callers name. */
export const CALLERS_HOST = "soak.example";
/** The service whose upstreams stream events. */
export const MODEL_SERVICE = "model";
/** The service whose upstreams give whole answers. */
export const ANSWER_SERVICE = "answers";
