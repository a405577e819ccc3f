/** Returns the experiment's service file, with one service per model. */
export function serviceFileOf(opts: {
    models: string[];
    tokenGapObjectiveMs: number;
    batchBalance: number;
}): string {
    const services = opts.models.flatMap(model => [
        `  - name: ${model}`,
        "    team: bench",
        "    kind: model-engine",
        "    models:",
        `      - { name: ${model}, version: "1" }`,
        "    repeatable: true",
        "    deadlineMs: 60000",
        `    tokenGapObjectiveMs: ${opts.tokenGapObjectiveMs}`,
        `    batchBalance: ${opts.batchBalance}`,
    ]);
    return ["teams:", "  - teamId: bench", "    displayName: Bench", "services:", ...services, ""].join("\n");
}
