Feature: A gateway shows its decisions and the limits in force

  Scenario: A call that may go anywhere
    Given two regions whose dealers may have 2 calls in flight
    When a dealer of west asks the model, bound to nothing
    Then the status of west shows the decision with its candidates and winner
    And no status shows any text of the call
    And the status of west has the times to the first token and to the end

  Scenario: Calls of a model and of a plain service
    Given two regions whose dealers may have 2 calls in flight
    When a dealer of west asks the model, bound to nothing
    And a dealer of west looks an owner up
    Then the status of west has the times of each service and of all together

  Scenario: A call that is bound to its region
    Given two regions whose dealers may have 2 calls in flight
    When a dealer of west asks the model, bound to west
    Then the status of west shows the decision with its candidates and winner
    And the status of east does not name the call
    And no status shows any text of the call

  Scenario Outline: A limit is reached
    Given two regions whose dealers may have 2 calls in flight
    When dealers of west hold 2 streams open and ask once more with <claim>
    Then the third is refused by the limit
    And the status of west shows the limit with 2 of 2 in use and a refusal
    And the status of west shows 0 of 2 in use once the streams have ended

    Examples:
      | claim                          |
      | no claim                       |
      | the claim to be passed on      |

  Scenario: A caller names its own request
    Given two regions whose dealers may have 2 calls in flight
    When a dealer of west asks the model as if it were passed on
    Then the call has an identifier of the gateway's own
