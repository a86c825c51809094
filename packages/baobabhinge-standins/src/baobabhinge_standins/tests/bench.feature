Feature: The test bench brings about what it says

  Scenario Outline: A gateway that fails answers nothing, and answers again
    Given a deployment in which every part can fail
    When <fault>
    Then <gateway> <reaction> a look-up
    When <repair>
    Then every gateway is ready
    And <gateway> answers a look-up

    Examples:
      | fault                               | gateway        | reaction          | repair                          |
      | west-gateway-1 is frozen            | west-gateway-1 | does not answer   | west-gateway-1 is thawed        |
      | west-gateway-1 is killed            | west-gateway-1 | does not answer   | west-gateway-1 is started again |
      | the links of west-ledger-1 are refused | west-gateway-1 | answers         | all links are healed            |
      | region west is cut off from the others | west-gateway-1 | answers           | all links are healed            |
      | the store is down                   | west-gateway-1 | answers           | the store is well               |

  Scenario: A marked prompt ends the engine and all that it runs
    Given a deployment in which every part can fail
    When a long and a marked prompt run at west-llm-1
    Then both lose their connection and west-llm-1 has ended
    When west-llm-1 is started again
    Then the journal of west-llm-1 still has both
