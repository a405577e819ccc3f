/** The service file of the demo deployment, as YAML. */
export const demoServiceFile =
    `# Services of the demonstration: a model with batch work, and receipts that must not be doubled.
teams:
  - teamId: cellar
    displayName: Cellar desk
    weight: 2

services:
  - name: tasting-notes
    team: cellar
    kind: model-engine
    models:
      - { name: demo-chat, version: "1" }
    replicas: 3
    repeatable: true
    deadlineMs: 60000
    batchDueMs: 3600000
    batchBalance: 0.5
    tokenGapObjectiveMs: 63

  - name: ledger
    team: cellar
    kind: plain
    replicas: 1
    repeatable: false
    deadlineMs: 10000
`;
