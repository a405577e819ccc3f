/**
 * How an upstream treats requests. `slow` delays all responses, `limited` names a limit in all of them. The modes after these
 * fail a share of the requests.
 *
 * `errors` responds with status 500. `cut` closes the connection within the first event. `hang` sends no response and
 * closes the connection late. `garble` sends a wrong body without proof. `unframed` sends all responses without a length
 * or chunks, and breaks a share of them off: it resets the connection, or closes it within an event. `endless` sends chunks of a
 * byte or empty events without end. `early` answers long uploads before it reads them, with a part of a response without a
 * length, and resets the connection.
 */
export type UpstreamMode =
    | "healthy"
    | "slow"
    | "limited"
    | "errors"
    | "cut"
    | "hang"
    | "garble"
    | "unframed"
    | "endless"
    | "early";
