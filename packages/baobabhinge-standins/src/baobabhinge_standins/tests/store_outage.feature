Feature: Serving goes on while the key-value service is down

  Scenario: Down past every lease, then back
    Given a region of three gateways whose engine runs version v1
    When the key-value service is down
    Then the lease of the region lapses at its holder
    And every gateway answers these calls
      | path                   | body                                        |
      | /v1/completions        | {"model":"llm","prompt":"a","max_tokens":4} |
      | /services/ledger/owned | none                                        |
    And the gateways report the calls that the key-value service counted
    When the key-value service is well
    And settings with version v2 are published
    Then the engine runs version v2
    And the key-value service has refused no call for its rate
