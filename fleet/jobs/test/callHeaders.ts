/** Names of the headers between runners and upstreams in tests. */
export const callHeaders = {
    requestId: "i",
    expectedUpstream: "u",
    expectedVersion: "v",
    lastEventId: "l",
    notRun: "n",
    leaving: "g",
    promptParts: "q",
    upstreamProof: "p",
    key: "k",
    team: "t",
};
