/** Host name in the requests of callers. */
export const CALLERS_HOST = "soak.example";
/** The service whose upstreams stream events. */
export const MODEL_SERVICE = "model";
/** The service whose upstreams send a whole response at once. */
export const ANSWER_SERVICE = "answers";
