/** Returns the service file of the experiment: a model engine and a plain service with non-repeatable calls. */
export function serviceFile(model: string): string {
    return [
        "teams:",
        "  - teamId: bench",
        "    displayName: Bench",
        "services:",
        "  - name: chat",
        "    team: bench",
        "    kind: model-engine",
        "    models:",
        `      - { name: ${model}, version: "1" }`,
        "    replicas: 3",
        "    repeatable: true",
        "    deadlineMs: 60000",
        "  - name: ledger",
        "    team: bench",
        "    kind: plain",
        "    replicas: 2",
        "    repeatable: false",
        "    deadlineMs: 10000",
        "",
    ].join("\n");
}
